package org.pistachioline.core.endpoints;

import java.util.List;

import org.junit.jupiter.api.Test;

import org.pistachioline.core.peer.PeerStatus;

import static org.assertj.core.api.Assertions.assertThat;

class WarmUpRuleTests {

	private static final long NOW_MILLIS = 1_000_000;

	private static final PeerStatus SELF = daemon("self", NOW_MILLIS, false, false);

	@Test
	void aDaemonThatRestartedAloneRunsItselfWarmFirst() {
		assertThat(WarmUpRule.mayHoldBack(SELF, List.of(warm("a"), warm("b"), warm("c")))).isTrue();
	}

	/**
	 * All processes are killed at once and start again together. Were the first to come
	 * held for warm by the rest, it would get every caller and serve none in time.
	 */
	@Test
	void nobodyHoldsBackWhenAllRestartedTogether() {
		final PeerStatus other = daemon("a", NOW_MILLIS - 700, true, false);
		assertThat(WarmUpRule.mayHoldBack(SELF, List.of(other, daemon("b", NOW_MILLIS + 300, true, false)))).isFalse();
		assertThat(WarmUpRule.mayHoldBack(SELF, List.of())).isFalse();
	}

	@Test
	void nobodyHoldsBackWhenMostOthersAreColdOrLeaving() {
		assertThat(WarmUpRule.mayHoldBack(SELF, List.of(warm("a"), daemon("b", NOW_MILLIS - 1_000, true, false),
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
