package org.pistachioline.core.traffic;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class FastMigrationPolicyTests {

	private static final long MILLI = 1_000_000L;

	private final FastMigrationPolicy policy = new FastMigrationPolicy();

	/**
	 * A group loses a member; its head keeps all connections open and sends nothing for
	 * six seconds. A caller who hears nothing for two leaves, so the stream has to move
	 * first.
	 */
	@Test
	void aStreamLeavesATargetThatIsSilentAsAWhole() {
		assertThat(shouldMigrate(599, 599, true)).isFalse();
		assertThat(shouldMigrate(600, 600, true)).isTrue();
		assertThat(shouldMigrate(700, 700, false)).isTrue();
	}

	/**
	 * A long prompt is read before this one at a busy target that serves all its other
	 * requests. Moved away, the request would wait for its prefill twice.
	 */
	@Test
	void aRequestThatHasNotBegunWaitsWhileItsTargetWorks() {
		assertThat(shouldMigrate(1_400, 50, false)).isFalse();
		assertThat(shouldMigrate(5_000, 50, false)).isFalse();
	}

	@Test
	void aStreamThatAloneStandsStillIsMovedLater() {
		assertThat(shouldMigrate(1_400, 50, true)).isFalse();
		assertThat(shouldMigrate(1_500, 50, true)).isTrue();
	}

	private boolean shouldMigrate(long silentMillis, long targetSilentMillis, boolean ran) {
		final long nowNanos = 10_000 * MILLI;
		return this.policy.shouldMigrate(nowNanos,
				new StreamProgress(ran, nowNanos - silentMillis * MILLI, nowNanos - targetSilentMillis * MILLI), null);
	}

}
