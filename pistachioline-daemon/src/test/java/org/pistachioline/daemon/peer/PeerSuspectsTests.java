package org.pistachioline.daemon.peer;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;

import org.apache.pekko.actor.typed.ActorSystem;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import org.pistachioline.adapters.http.ActorSystems;
import org.pistachioline.core.peer.PeerStatus;
import org.pistachioline.core.quarantine.DeathPhase;
import org.pistachioline.core.quarantine.SuspectedRequest;
import org.pistachioline.core.quarantine.TargetDeath;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Daemons that tell each other of requests under which targets died, over real
 * connections.
 */
class PeerSuspectsTests {

	private static final long HEARTBEAT_MILLIS = 20;

	private static final long LONGEST_WAIT_SECONDS = 60;

	private static final List<SuspectedRequest> KNOWN = List
		.of(new SuspectedRequest("00ff", List.of(new TargetDeath("i-1@1", 0, DeathPhase.BEGINNING, false))));

	private final ActorSystem<?> system = ActorSystems.create("peer-suspects-test");

	private final AtomicLong sequence = new AtomicLong();

	private final List<PeerDuty> started = new ArrayList<>();

	private final BlockingQueue<List<SuspectedRequest>> heard = new LinkedBlockingQueue<>();

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

	private void assertHeard() throws InterruptedException {
		assertThat(this.heard.poll(LONGEST_WAIT_SECONDS, TimeUnit.SECONDS)).extracting(SuspectedRequest::fingerprint)
			.containsExactly("00ff");
	}

	/**
	 * Guards against a daemon that has just started and runs what all others refuse.
	 */
	@Test
	void aDaemonThatStartsIsToldByTheFirstThatItGreets() throws InterruptedException {
		final PeerDuty first = daemon("first", List.of());
		first.suspects().bind(List::of, () -> KNOWN, (told) -> {
		});
		first.start();
		final PeerDuty second = daemon("second", List.of(first.localAddress()));
		second.suspects().bind(List::of, List::of, this.heard::add);
		second.start();
		assertHeard();
	}

	@Test
	void aHeartbeatTellsWhatANoticeDidNot() throws InterruptedException {
		final PeerDuty second = daemon("second", List.of());
		second.suspects().bind(List::of, List::of, this.heard::add);
		second.start();
		final PeerDuty first = daemon("first", List.of(second.localAddress()));
		first.suspects().bind(() -> KNOWN, List::of, (told) -> {
		});
		first.start();
		assertHeard();
	}

}
