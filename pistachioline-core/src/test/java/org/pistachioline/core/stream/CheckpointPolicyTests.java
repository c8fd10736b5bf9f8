package org.pistachioline.core.stream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class CheckpointPolicyTests {

	private static final long RETENTION_MILLIS = 86_400_000;

	private static final long APPENDED_AT_MILLIS = 1_000_000;

	private final CheckpointPolicy policy = new CheckpointPolicy(RETENTION_MILLIS, 10_000);

	private boolean isDueAtAge(long ageMillis, int rank) {
		return this.policy.isDue(new CheckpointCoverage(-1, APPENDED_AT_MILLIS), 5, rank,
				APPENDED_AT_MILLIS + ageMillis);
	}

	// Guards against the loss of an idle stream's state. If nothing is appended after the
	// last manifest, it expires from the log, and without a checkpoint a daemon that
	// starts later would find nothing and never become ready.
	@Test
	void theFirstRankedDaemonWritesAtAQuarterOfTheRetention() {
		assertThat(isDueAtAge(RETENTION_MILLIS / 4 - 1, 0)).isFalse();
		assertThat(isDueAtAge(RETENTION_MILLIS / 4, 0)).isTrue();
	}

	// Guards against a missing checkpoint when the first-ranked daemon is paused or cut
	// off from the log without knowing it. The others must stand in one after the other,
	// not 370 at once.
	@Test
	void theOtherDaemonsStandInOneByOneWellBeforeTheEntryExpires() {
		assertThat(isDueAtAge(RETENTION_MILLIS / 4, 1)).isFalse();
		assertThat(isDueAtAge(RETENTION_MILLIS / 4 + RETENTION_MILLIS / 32, 1)).isTrue();
		assertThat(isDueAtAge(RETENTION_MILLIS / 4 + RETENTION_MILLIS / 32, 2)).isFalse();
		assertThat(isDueAtAge(RETENTION_MILLIS * 3 / 4, 369)).isTrue();
	}

	@Test
	void aBusyStreamIsCheckpointedByItsNumberOfEntries() {
		final CheckpointCoverage coverage = new CheckpointCoverage(99, APPENDED_AT_MILLIS);
		assertThat(this.policy.isDue(coverage, 10_099, 0, APPENDED_AT_MILLIS)).isFalse();
		assertThat(this.policy.isDue(coverage, 10_100, 0, APPENDED_AT_MILLIS)).isTrue();
		assertThat(this.policy.isDue(coverage, 10_100, 1, APPENDED_AT_MILLIS)).isFalse();
	}

	@Test
	void aStreamWithoutEntriesNeedsNoCheckpoint() {
		assertThat(this.policy.isDue(CheckpointCoverage.NONE, 0, 0, Long.MAX_VALUE)).isFalse();
	}

}
