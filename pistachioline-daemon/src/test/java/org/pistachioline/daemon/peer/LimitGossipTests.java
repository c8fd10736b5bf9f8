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
 * Daemons that tell each other of limits, over real connections.
 */
class LimitGossipTests {

	private static final long MAX_WAIT_SECONDS = 60;

	private final LoopbackPeers peers = new LoopbackPeers();

	@AfterEach
	void stopAll() {
		this.peers.close();
	}

	/**
	 * Guards against a daemon that sends nothing to a target in need, and never hears
	 * that its limit has changed or is over.
	 */
	@Test
	void heartbeatsCarryTheLimitsThatAnotherDaemonKnows() throws InterruptedException {
		final BlockingQueue<List<AdvertisedLimit>> heard = new LinkedBlockingQueue<>();
		final PeerDuty second = this.peers.daemon("second", List.of());
		second.setLimitExchange(List::of, heard::add);
		second.start();
		final PeerDuty first = this.peers.daemon("first", List.of(second.localAddress()));
		first.setLimitExchange(
				() -> List.of(new AdvertisedLimit("i-1", OptionalDouble.of(1.1), 0),
						new AdvertisedLimit("i-2", OptionalDouble.empty(), 0)),
				(told) -> assertThat(told).as("the second one knows of none").isEmpty());
		first.start();
		final List<AdvertisedLimit> told = heard.poll(MAX_WAIT_SECONDS, TimeUnit.SECONDS);
		assertThat(told).extracting(AdvertisedLimit::instanceId).containsExactly("i-1", "i-2");
		assertThat(told).extracting(AdvertisedLimit::requestsPerSecond)
			.containsExactly(OptionalDouble.of(1.1), OptionalDouble.empty());
	}

}
