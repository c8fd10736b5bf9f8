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
class SuspectGossipTests {

	private static final long MAX_WAIT_SECONDS = 60;

	private static final List<SuspectedRequest> KNOWN = List
		.of(new SuspectedRequest("00ff", List.of(new CrashEvidence("i-1@1", 0, CrashPhase.STARTING, false))));

	private final LoopbackPeers peers = new LoopbackPeers();

	private final BlockingQueue<List<SuspectedRequest>> received = new LinkedBlockingQueue<>();

	@AfterEach
	void stopAll() {
		this.peers.close();
	}

	private void assertReceived() throws InterruptedException {
		assertThat(this.received.poll(MAX_WAIT_SECONDS, TimeUnit.SECONDS)).extracting(SuspectedRequest::fingerprint)
			.containsExactly("00ff");
	}

	/**
	 * Guards against a daemon that has just started and runs what all others refuse.
	 */
	@Test
	void aNewDaemonReceivesSuspectsFromTheFirstDaemonItContacts() throws InterruptedException {
		final PeerDuty first = this.peers.daemon("first", List.of());
		first.suspectExchange().bind(List::of, () -> KNOWN, (told) -> {
		});
		first.start();
		final PeerDuty second = this.peers.daemon("second", List.of(first.localAddress()));
		second.suspectExchange().bind(List::of, List::of, this.received::add);
		second.start();
		assertReceived();
	}

	@Test
	void heartbeatsCarrySuspectsWhoseNoticeWasLost() throws InterruptedException {
		final PeerDuty second = this.peers.daemon("second", List.of());
		second.suspectExchange().bind(List::of, List::of, this.received::add);
		second.start();
		final PeerDuty first = this.peers.daemon("first", List.of(second.localAddress()));
		first.suspectExchange().bind(() -> KNOWN, List::of, (told) -> {
		});
		first.start();
		assertReceived();
	}

}
