package org.pistachioline.core.traffic;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class PromptShiftTests {

	private static final long MILLI = 1_000_000L;

	private final PromptShift shift = new PromptShift();

	/**
	 * A group loses a member; its head keeps all connections open and sends nothing for
	 * six seconds. A caller who hears nothing for two leaves, so the stream has to move
	 * first.
	 */
	@Test
	void aStreamLeavesATargetThatIsSilentAsAWhole() {
		assertThat(due(599, 599, true)).isFalse();
		assertThat(due(600, 600, true)).isTrue();
		assertThat(due(700, 700, false)).isTrue();
	}

	/**
	 * A long prompt is read before this one at a busy target that serves all its other
	 * requests. Moved away, the request would wait for its prefill twice.
	 */
	@Test
	void aRequestThatHasNotBegunWaitsWhileItsTargetWorks() {
		assertThat(due(1_400, 50, false)).isFalse();
		assertThat(due(5_000, 50, false)).isFalse();
	}

	@Test
	void aStreamThatAloneStandsStillIsMovedLater() {
		assertThat(due(1_400, 50, true)).isFalse();
		assertThat(due(1_500, 50, true)).isTrue();
	}

	private boolean due(long silentMillis, long targetSilentMillis, boolean ran) {
		final long nowNanos = 10_000 * MILLI;
		return this.shift.isDue(nowNanos,
				new StreamProgress(ran, nowNanos - silentMillis * MILLI, nowNanos - targetSilentMillis * MILLI), null);
	}

}
