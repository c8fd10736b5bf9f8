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

	// A partition leaves a daemon with callers but with neither the log nor a peer. A
	// workspace that was revoked an hour ago would be served there for ever.
	@Test
	void aDaemonPartitionedFromLogAndPeersExceedsTheBound() {
		assertThat(isStale()).isTrue();
		assertThat(this.bound.isExceededBy(this.bound.ageMillis(899_999, 7, List.of()))).isFalse();
	}

	// Only the way to the log is cut. The daemon's callers would lose it for nothing, as
	// a peer beside it sees that nothing newer was published.
	@Test
	void aPeerAtTheSameOffsetThatReadsTheLogKeepsTheConfigurationFresh() {
		assertThat(isStale(peer(7, 500))).isFalse();
	}

	// All daemons lost the log together. They must not keep each other fresh by word of
	// mouth.
	@Test
	void peersThatHaveNotReadTheLogDoNotRefreshTheConfiguration() {
		assertThat(isStale(peer(7, HOUR_MILLIS), peer(7, HOUR_MILLIS + 1))).isTrue();
	}

	// Daemons are replaced one after the other while the log is down. If each began with
	// a
	// fresh clock, a revoked workspace would be served for as long as that goes on.
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
