package org.pistachioline.core.traffic;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class FastMigrationPolicyTests {

	private static final long NANOS_PER_MILLI = 1_000_000L;

	private final FastMigrationPolicy policy = new FastMigrationPolicy();

	/**
	 * Guards against callers that give up during a stall. A group that loses a member
	 * keeps all connections open and sends nothing for six seconds; callers disconnect
	 * after two seconds without an event, so the stream has to be migrated earlier.
	 */
	@Test
	void aStreamLeavesATargetThatIsSilentAsAWhole() {
		assertThat(shouldMigrate(599, 599, true)).isFalse();
		assertThat(shouldMigrate(600, 600, true)).isTrue();
		assertThat(shouldMigrate(700, 700, false)).isTrue();
	}

	/**
	 * Guards against needless migration. A busy target processes a long prompt before
	 * this request while it serves all others. After a migration the request would wait
	 * for its prefill a second time.
	 */
	@Test
	void aRequestWithoutOutputWaitsWhileItsTargetMakesProgress() {
		assertThat(shouldMigrate(1_400, 50, false)).isFalse();
		assertThat(shouldMigrate(5_000, 50, false)).isFalse();
	}

	@Test
	void aStreamThatStallsAloneIsMigratedLater() {
		assertThat(shouldMigrate(1_400, 50, true)).isFalse();
		assertThat(shouldMigrate(1_500, 50, true)).isTrue();
	}

	private boolean shouldMigrate(long streamSilenceMillis, long targetSilenceMillis, boolean attemptHasOutput) {
		final long nowNanos = 10_000 * NANOS_PER_MILLI;
		return this.policy.shouldMigrate(nowNanos, new StreamProgress(attemptHasOutput,
				nowNanos - streamSilenceMillis * NANOS_PER_MILLI, nowNanos - targetSilenceMillis * NANOS_PER_MILLI),
				null);
	}

}
