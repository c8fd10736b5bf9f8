package org.pistachioline.core.endpoints;

import java.util.List;

import org.junit.jupiter.api.Test;

import org.pistachioline.core.peer.PeerStatus;

import static org.assertj.core.api.Assertions.assertThat;

class WarmUpPolicyTests {

	private static final long NOW_MILLIS = 1_000_000;

	private static final PeerStatus SELF = daemon("self", NOW_MILLIS, false, false);

	@Test
	void aDaemonThatRestartedAloneWarmsUpFirst() {
		assertThat(WarmUpPolicy.shouldWarmUp(SELF, List.of(warm("a"), warm("b"), warm("c")))).isTrue();
	}

	/**
	 * All processes are killed at once and start again together. Were the first to come
	 * held for warm by the rest, it would get every caller and serve none in time.
	 */
	@Test
	void noDaemonWarmsUpWhenAllRestartedTogether() {
		final PeerStatus other = daemon("a", NOW_MILLIS - 700, true, false);
		assertThat(WarmUpPolicy.shouldWarmUp(SELF, List.of(other, daemon("b", NOW_MILLIS + 300, true, false))))
			.isFalse();
		assertThat(WarmUpPolicy.shouldWarmUp(SELF, List.of())).isFalse();
	}

	@Test
	void noDaemonWarmsUpWhenMostOthersAreColdOrLeaving() {
		assertThat(WarmUpPolicy.shouldWarmUp(SELF, List.of(warm("a"), daemon("b", NOW_MILLIS - 1_000, true, false),
				daemon("c", NOW_MILLIS - 60_000, true, true))))
			.isFalse();
	}

	private static PeerStatus warm(String id) {
		return daemon(id, NOW_MILLIS - 60_000, true, false);
	}

	private static PeerStatus daemon(String id, long incarnation, boolean ready, boolean leaving) {
		return new PeerStatus(id, id + ":1", id + ":2", id + ":3", "zone", incarnation, 1, 1, 0, 0, ready, leaving, 0,
				0);
	}

}
