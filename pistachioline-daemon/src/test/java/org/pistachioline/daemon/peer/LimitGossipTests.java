package org.pistachioline.daemon.peer;

import java.util.List;
import java.util.OptionalDouble;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import org.pistachioline.core.limit.AdvertisedLimit;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that daemons exchange the limits of targets over real connections.
 */
class LimitGossipTests {

	private static final long MAX_WAIT_SECONDS = 60;

	private final LoopbackPeers peers = new LoopbackPeers();

	@AfterEach
	void stopAll() {
		this.peers.close();
	}

	/**
	 * Guards against a daemon that sends nothing to a target with a limit and never
	 * learns that the limit has changed or ended.
	 */
	@Test
	void heartbeatsCarryTheLimitsThatAnotherDaemonKnows() throws InterruptedException {
		final BlockingQueue<List<AdvertisedLimit>> received = new LinkedBlockingQueue<>();
		final PeerDuty second = this.peers.daemon("second", List.of());
		second.addExchange(new LimitExchange(List::of, received::add));
		second.start();
		final PeerDuty first = this.peers.daemon("first", List.of(second.localAddress()));
		first.addExchange(new LimitExchange(
				() -> List.of(new AdvertisedLimit("i-1", OptionalDouble.of(1.1), 0),
						new AdvertisedLimit("i-2", OptionalDouble.empty(), 0)),
				(reported) -> assertThat(reported).as("limits that the second daemon reports").isEmpty()));
		first.start();
		final List<AdvertisedLimit> reported = received.poll(MAX_WAIT_SECONDS, TimeUnit.SECONDS);
		assertThat(reported).extracting(AdvertisedLimit::instanceId).containsExactly("i-1", "i-2");
		assertThat(reported).extracting(AdvertisedLimit::requestsPerSecond)
			.containsExactly(OptionalDouble.of(1.1), OptionalDouble.empty());
	}

}
