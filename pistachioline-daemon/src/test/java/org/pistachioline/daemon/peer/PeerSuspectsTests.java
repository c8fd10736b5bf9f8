package org.pistachioline.daemon.peer;

import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import org.pistachioline.core.quarantine.CrashEvidence;
import org.pistachioline.core.quarantine.CrashPhase;
import org.pistachioline.core.quarantine.SuspectedRequest;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Daemons that tell each other of requests under which targets died, over real
 * connections.
 */
class PeerSuspectsTests {

	private static final long LONGEST_WAIT_SECONDS = 60;

	private static final List<SuspectedRequest> KNOWN = List
		.of(new SuspectedRequest("00ff", List.of(new CrashEvidence("i-1@1", 0, CrashPhase.STARTING, false))));

	private final PeersOnLoopback peers = new PeersOnLoopback();

	private final BlockingQueue<List<SuspectedRequest>> heard = new LinkedBlockingQueue<>();

	@AfterEach
	void stopAll() {
		this.peers.close();
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
		final PeerDuty first = this.peers.daemon("first", List.of());
		first.suspects().bind(List::of, () -> KNOWN, (told) -> {
		});
		first.start();
		final PeerDuty second = this.peers.daemon("second", List.of(first.localAddress()));
		second.suspects().bind(List::of, List::of, this.heard::add);
		second.start();
		assertHeard();
	}

	@Test
	void aHeartbeatTellsWhatANoticeDidNot() throws InterruptedException {
		final PeerDuty second = this.peers.daemon("second", List.of());
		second.suspects().bind(List::of, List::of, this.heard::add);
		second.start();
		final PeerDuty first = this.peers.daemon("first", List.of(second.localAddress()));
		first.suspects().bind(() -> KNOWN, List::of, (told) -> {
		});
		first.start();
		assertHeard();
	}

}
