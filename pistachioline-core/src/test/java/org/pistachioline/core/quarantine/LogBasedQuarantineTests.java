package org.pistachioline.core.quarantine;

import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class LogBasedQuarantineTests {

	private static final long QUARANTINE_NANOS = 600_000_000_000L;

	private final LogBasedQuarantine policy = new LogBasedQuarantine();

	// All requests of a batch are suspected when its group crashes. Once the culprit is
	// quarantined, the others must no longer be isolated from each other.
	@Test
	void bystandersAreClearedWhenTheCulpritIsQuarantined() {
		this.policy.onBrokenAttempt(0, "culprit", "g0@1");
		this.policy.onBrokenAttempt(0, "bystander", "g0@1");
		this.policy.onBrokenAttempt(0, "elsewhere", "g7@1");
		assertThat(this.policy.onBrokenAttempt(0, "culprit", "g1@1")).isEqualTo(CrashVerdict.QUARANTINED);
		assertThat(this.policy.suspects()).containsOnlyKeys("elsewhere");
	}

	// The quarantine is learned from the log rather than decided by this daemon.
	@Test
	void bystandersAreClearedWhenAnotherDaemonQuarantinesTheCulprit() {
		this.policy.onBrokenAttempt(0, "bystander", "g0@1");
		this.policy.onLogState(0, Set.of(), Map.of("culprit", "g0@1"));
		assertThat(this.policy.isSuspect("culprit")).isTrue();
		this.policy.onLogState(0, Set.of("culprit"), Map.of("culprit", "g0@1"));
		assertThat(this.policy.isQuarantined("culprit")).isTrue();
		assertThat(this.policy.suspects()).isEmpty();
	}

	// A popular prompt has completed three times when a rack failure takes three of its
	// groups at once. It must not be treated as the cause.
	@Test
	void earlierCompletionsExcuseCrashes() {
		for (int i = 0; i < 3; i++) {
			this.policy.onRunPastCrash(0, "popular", true);
		}
		for (int group = 0; group < 3; group++) {
			assertThat(this.policy.onBrokenAttempt(0, "popular", "g" + group)).isEqualTo(CrashVerdict.EXCUSED);
		}
		assertThat(this.policy.onBrokenAttempt(0, "popular", "g3")).isEqualTo(CrashVerdict.SUSPECTED);
	}

	// Two crashes more than ten minutes apart are not evidence against a request.
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
