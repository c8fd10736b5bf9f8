package org.pistachioline.core.traffic;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class PauseDetectorTests {

	private static final long NANOS_PER_MILLI = 1_000_000L;

	private final PauseDetector detector = new PauseDetector(50 * NANOS_PER_MILLI);

	// Guards against ticks on a busy machine that hide the silence of targets.
	@Test
	void onlyTicksThatAreMuchTooLateShowAPause() {
		assertThat(tickAt(-5_000)).isZero();
		assertThat(tickAt(-4_950)).isZero();
		assertThat(tickAt(-4_700)).isZero();
		assertThat(tickAt(-4_350)).isEqualTo(300 * NANOS_PER_MILLI);
		assertThat(tickAt(-4_300)).isZero();
	}

	private long tickAt(long millis) {
		return this.detector.onTick(millis * NANOS_PER_MILLI);
	}

}
