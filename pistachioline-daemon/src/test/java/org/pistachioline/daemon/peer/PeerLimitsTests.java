package org.pistachioline.daemon.peer;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;

import org.apache.pekko.actor.typed.ActorSystem;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import org.pistachioline.adapters.http.ActorSystems;
import org.pistachioline.core.limit.StatedLimit;
import org.pistachioline.core.peer.PeerStatus;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Daemons that tell each other of limits, over real connections.
 */
class PeerLimitsTests {

	private static final long HEARTBEAT_MILLIS = 20;

	private static final long LONGEST_WAIT_SECONDS = 60;

	private final ActorSystem<?> system = ActorSystems.create("peer-limits-test");

	private final AtomicLong sequence = new AtomicLong();

	private final List<PeerDuty> started = new ArrayList<>();

	@AfterEach
	void stopAll() {
		this.started.forEach(PeerDuty::stop);
		this.system.terminate();
	}

	private PeerDuty daemon(String id, List<String> seeds) {
		final AtomicReference<PeerDuty> self = new AtomicReference<>();
		final PeerDuty duty = new PeerDuty(this.system,
				(receiver) -> new PeerTransport("127.0.0.1:0", null, 8, receiver), id,
				() -> new PeerStatus(id, self.get().localAddress(), "", "", "zone", 1, this.sequence.incrementAndGet(),
						1, 0, 0, true, false, 0, 0),
				() -> seeds, HEARTBEAT_MILLIS);
		self.set(duty);
		this.started.add(duty);
		return duty;
	}

	/**
	 * Guards against a daemon that sends nothing to a target in need, and never hears
	 * that its limit has changed or is over.
	 */
	@Test
	void aDaemonHearsOfLimitsThatAnotherKnows() throws InterruptedException {
		final BlockingQueue<List<StatedLimit>> heard = new LinkedBlockingQueue<>();
		final PeerDuty second = daemon("second", List.of());
		second.onLimits(List::of, heard::add);
		second.start();
		final PeerDuty first = daemon("first", List.of(second.localAddress()));
		first.onLimits(
				() -> List.of(new StatedLimit("i-1", OptionalDouble.of(1.1), 0),
						new StatedLimit("i-2", OptionalDouble.empty(), 0)),
				(told) -> assertThat(told).as("the second one knows of none").isEmpty());
		first.start();
		final List<StatedLimit> told = heard.poll(LONGEST_WAIT_SECONDS, TimeUnit.SECONDS);
		assertThat(told).extracting(StatedLimit::instanceId).containsExactly("i-1", "i-2");
		assertThat(told).extracting(StatedLimit::requestsPerSecond)
			.containsExactly(OptionalDouble.of(1.1), OptionalDouble.empty());
	}

}
