package org.pistachioline.core.state;

import java.util.List;

import org.junit.jupiter.api.Test;

import org.pistachioline.core.peer.PeerStatus;

import static org.assertj.core.api.Assertions.assertThat;

class StalenessBoundTests {

	private static final long HOUR_MILLIS = 3_600_000;

	private final StalenessBound bound = new StalenessBound(900_000);

	private static PeerStatus peer(long configOffset, long logAgeMillis) {
		return new PeerStatus("p", "a:1", "a:2", "a:3", "zone-a", 1, 1, 1, configOffset, 0, true, false, 0,
				logAgeMillis);
	}

	private boolean isStale(PeerStatus... peers) {
		return this.bound.isExceededBy(this.bound.ageMillis(HOUR_MILLIS, 7, List.of(peers)));
	}

	// A partition separates a daemon from the log and all peers, but not from its
	// callers. Without the bound it would serve a revoked workspace indefinitely.
	@Test
	void aDaemonPartitionedFromLogAndPeersExceedsTheBound() {
		assertThat(isStale()).isTrue();
		assertThat(this.bound.isExceededBy(this.bound.ageMillis(899_999, 7, List.of()))).isFalse();
	}

	// Only the connection to the log is lost, and a peer at the same offset knows that
	// nothing newer was published. Rejecting requests would be needless downtime.
	@Test
	void aPeerAtTheSameOffsetThatReadsTheLogKeepsTheConfigurationFresh() {
		assertThat(isStale(peer(7, 500))).isFalse();
	}

	// All daemons lose the log at the same time. They must not extend the age of each
	// other's configuration by gossip alone.
	@Test
	void peersThatHaveNotReadTheLogDoNotRefreshTheConfiguration() {
		assertThat(isStale(peer(7, HOUR_MILLIS), peer(7, HOUR_MILLIS + 1))).isTrue();
	}

	// Daemons are restarted in turn while the log is down. If the age started at zero
	// with each restart, a revoked workspace would be served for as long as restarts
	// go on.
	@Test
	void aNewDaemonThatNeverReadTheLogTakesTheConfigurationAgeOfItsPeer() {
		final long neverMillis = Long.MAX_VALUE / 1_000_000;
		assertThat(this.bound.ageMillis(neverMillis, 7, List.of(peer(7, 899_000)))).isEqualTo(899_000);
		assertThat(this.bound.isExceededBy(this.bound.ageMillis(neverMillis, 7, List.of()))).isTrue();
	}

	@Test
	void peersAtOtherOffsetsDoNotRefreshTheConfiguration() {
		assertThat(isStale(peer(8, 500), peer(6, 500))).isTrue();
	}

}
