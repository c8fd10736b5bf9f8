package org.pistachioline.core.quarantine;

import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class LogBasedQuarantineTests {

	private static final long QUARANTINE_NANOS = 600_000_000_000L;

	private final LogBasedQuarantine policy = new LogBasedQuarantine();

	// A killer and the others of its batch were suspected for the same group. Once the
	// killer is found there is nothing against the others, and they need not wait for
	// each other any longer.
	@Test
	void bystandersAreClearedWhenTheCulpritIsQuarantined() {
		this.policy.onBrokenAttempt(0, "killer", "g0@1");
		this.policy.onBrokenAttempt(0, "innocent", "g0@1");
		this.policy.onBrokenAttempt(0, "elsewhere", "g7@1");
		assertThat(this.policy.onBrokenAttempt(0, "killer", "g1@1")).isEqualTo(CrashVerdict.QUARANTINED);
		assertThat(this.policy.suspects()).containsOnlyKeys("elsewhere");
	}

	// The culprit was found by another daemon; this one learns of it from the log.
	@Test
	void bystandersAreClearedWhenAnotherDaemonQuarantinesTheCulprit() {
		this.policy.onBrokenAttempt(0, "innocent", "g0@1");
		this.policy.onLogState(0, Set.of(), Map.of("killer", "g0@1"));
		assertThat(this.policy.isSuspect("killer")).isTrue();
		this.policy.onLogState(0, Set.of("killer"), Map.of("killer", "g0@1"));
		assertThat(this.policy.isQuarantined("killer")).isTrue();
		assertThat(this.policy.suspects()).isEmpty();
	}

	// A popular prompt has run well many times when a rack takes three of its groups at
	// once. Its callers are not to be told that it crashes groups.
	@Test
	void earlierCompletionsExcuseCrashes() {
		for (int i = 0; i < 3; i++) {
			this.policy.onRunPastCrash("popular", true);
		}
		for (int group = 0; group < 3; group++) {
			assertThat(this.policy.onBrokenAttempt(0, "popular", "g" + group)).isEqualTo(CrashVerdict.EXCUSED);
		}
		assertThat(this.policy.onBrokenAttempt(0, "popular", "g3")).isEqualTo(CrashVerdict.SUSPECTED);
	}

	// A group's death long ago, and another one today, are no pattern.
	@Test
	void suspicionsAndQuarantinesExpire() {
		this.policy.onBrokenAttempt(0, "a", "g0@1");
		this.policy.onBrokenAttempt(0, "b", "g0@1");
		this.policy.onBrokenAttempt(0, "b", "g1@1");
		this.policy.onTick(QUARANTINE_NANOS);
		assertThat(this.policy.isSuspect("a")).isFalse();
		assertThat(this.policy.isQuarantined("b")).isFalse();
		assertThat(this.policy.onBrokenAttempt(QUARANTINE_NANOS, "a", "g2@1")).isEqualTo(CrashVerdict.SUSPECTED);
	}

}
