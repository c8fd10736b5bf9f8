package org.pistachioline.daemon.peer;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/**
 * Tests two daemons whose connections fall silent while new ones work.
 */
class SilentPeerConnectionTests {

	private static final int MAX_CHECKS = 1_000;

	private static final long CHECK_INTERVAL_NANOS = 10_000_000L;

	private final LoopbackPeers peers = new LoopbackPeers();

	private final SilentPaths paths = new SilentPaths();

	@AfterEach
	void stopAll() throws IOException {
		this.peers.close();
		this.paths.close();
	}

	private static void await(BooleanSupplier condition) {
		for (int i = 0; i < MAX_CHECKS; i++) {
			if (condition.getAsBoolean()) {
				return;
			}
			LockSupport.parkNanos(CHECK_INTERVAL_NANOS);
		}
		throw new AssertionError("The condition was not met in time");
	}

	/**
	 * Guards against daemons that do not hear of each other any more, neither of versions
	 * nor of instances, because they go on writing to connections that lead nowhere.
	 */
	@Test
	void daemonsWhoseConnectionsHaveFallenSilentFindEachOtherAgain() {
		final PeerDuty first = this.peers.daemon("first", List.of(), this.paths::to);
		first.start();
		final PeerDuty second = this.peers.daemon("second", List.of(this.paths.to(first.localAddress())),
				this.paths::to);
		second.start();
		await(() -> first.livePeers().size() == 1 && second.livePeers().size() == 1);
		this.paths.silence();
		await(() -> this.paths.isReachedAgain(first.localAddress())
				&& this.paths.isReachedAgain(second.localAddress()));
		await(() -> first.livePeers().size() == 1 && second.livePeers().size() == 1);
	}

}
