package org.pistachioline.core.stream;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class CheckpointPolicyTests {

	private static final long DAY_MILLIS = 86_400_000;

	private static final long SINCE_MILLIS = 1_000_000;

	private final CheckpointPolicy policy = new CheckpointPolicy(DAY_MILLIS, 10_000);

	private boolean dueAtAge(long ageMillis, int rank) {
		return this.policy.isDue(new CheckpointCoverage(-1, SINCE_MILLIS), 5, rank, SINCE_MILLIS + ageMillis);
	}

	// A stream lies quiet after its last manifest while the log's retention runs. Without
	// a checkpoint in time a daemon that starts later would find nothing and stay not
	// ready.
	@Test
	void theFirstChoiceWritesAtAQuarterOfTheRetention() {
		assertThat(dueAtAge(DAY_MILLIS / 4 - 1, 0)).isFalse();
		assertThat(dueAtAge(DAY_MILLIS / 4, 0)).isTrue();
	}

	// The first choice is paused or cut off from the log without knowing it. The others
	// must make up for it one after the other, not 370 at once.
	@Test
	void theOthersFallInOneByOneAndAllHaveWrittenWellBeforeTheEntryExpires() {
		assertThat(dueAtAge(DAY_MILLIS / 4, 1)).isFalse();
		assertThat(dueAtAge(DAY_MILLIS / 4 + DAY_MILLIS / 32, 1)).isTrue();
		assertThat(dueAtAge(DAY_MILLIS / 4 + DAY_MILLIS / 32, 2)).isFalse();
		assertThat(dueAtAge(DAY_MILLIS * 3 / 4, 369)).isTrue();
	}

	@Test
	void aBusyStreamIsCheckpointedByItsNumberOfEntries() {
		final CheckpointCoverage cover = new CheckpointCoverage(99, SINCE_MILLIS);
		assertThat(this.policy.isDue(cover, 10_099, 0, SINCE_MILLIS)).isFalse();
		assertThat(this.policy.isDue(cover, 10_100, 0, SINCE_MILLIS)).isTrue();
		assertThat(this.policy.isDue(cover, 10_100, 1, SINCE_MILLIS)).isFalse();
	}

	@Test
	void aStreamWithoutEntriesNeedsNone() {
		assertThat(this.policy.isDue(CheckpointCoverage.NONE, 0, 0, Long.MAX_VALUE)).isFalse();
	}

}
