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
 * Tests that daemons exchange requests suspected of crashing targets over real
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
	 * Guards against a newly started daemon that runs requests which all other daemons
	 * refuse.
	 */
	@Test
	void aNewDaemonReceivesSuspectsFromTheFirstDaemonItContacts() throws InterruptedException {
		final PeerDuty first = this.peers.daemon("first", List.of());
		first.addExchange(new SuspectExchange(List::of, () -> KNOWN, (reported) -> {
		}));
		first.start();
		final PeerDuty second = this.peers.daemon("second", List.of(first.localAddress()));
		second.addExchange(new SuspectExchange(List::of, List::of, this.received::add));
		second.start();
		assertReceived();
	}

	@Test
	void heartbeatsCarrySuspectsWhoseNoticeWasLost() throws InterruptedException {
		final PeerDuty second = this.peers.daemon("second", List.of());
		second.addExchange(new SuspectExchange(List::of, List::of, this.received::add));
		second.start();
		final PeerDuty first = this.peers.daemon("first", List.of(second.localAddress()));
		first.addExchange(new SuspectExchange(() -> KNOWN, List::of, (reported) -> {
		}));
		first.start();
		assertReceived();
	}

}
