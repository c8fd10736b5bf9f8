package org.pistachioline.core.quarantine;

import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class DeathCounterTests {

	private static final long TEN_MINUTES_NANOS = 600_000_000_000L;

	private final DeathCounter counter = new DeathCounter();

	// A killer and the others of its batch were suspected for the same group. Once the
	// killer is found there is nothing against the others, and they need not wait for
	// each other any longer.
	@Test
	void theOthersOfABatchAreFreeOnceTheCulpritIsFound() {
		this.counter.onDeath(0, "killer", "g0@1");
		this.counter.onDeath(0, "innocent", "g0@1");
		this.counter.onDeath(0, "elsewhere", "g7@1");
		assertThat(this.counter.onDeath(0, "killer", "g1@1")).isEqualTo(DeathVerdict.QUARANTINED);
		assertThat(this.counter.suspects()).containsOnlyKeys("elsewhere");
	}

	// The culprit was found by another daemon; this one learns of it from the log.
	@Test
	void theOthersAreFreeAlsoWhenAnotherDaemonFindsTheCulprit() {
		this.counter.onDeath(0, "innocent", "g0@1");
		this.counter.onAgreed(0, Set.of(), Map.of("killer", "g0@1"));
		assertThat(this.counter.isSuspect("killer")).isTrue();
		this.counter.onAgreed(0, Set.of("killer"), Map.of("killer", "g0@1"));
		assertThat(this.counter.isQuarantined("killer")).isTrue();
		assertThat(this.counter.suspects()).isEmpty();
	}

	// A popular prompt has run well many times when a rack takes three of its groups at
	// once. Its callers are not to be told that it crashes groups.
	@Test
	void earlierCompletionsExcuseDeaths() {
		for (int i = 0; i < 3; i++) {
			this.counter.onSurvived("popular", true);
		}
		for (int group = 0; group < 3; group++) {
			assertThat(this.counter.onDeath(0, "popular", "g" + group)).isEqualTo(DeathVerdict.EXCUSED);
		}
		assertThat(this.counter.onDeath(0, "popular", "g3")).isEqualTo(DeathVerdict.SUSPECTED);
	}

	// A group's death long ago, and another one today, are no pattern.
	@Test
	void suspicionsAndQuarantinesExpire() {
		this.counter.onDeath(0, "a", "g0@1");
		this.counter.onDeath(0, "b", "g0@1");
		this.counter.onDeath(0, "b", "g1@1");
		this.counter.onTick(TEN_MINUTES_NANOS);
		assertThat(this.counter.isSuspect("a")).isFalse();
		assertThat(this.counter.isQuarantined("b")).isFalse();
		assertThat(this.counter.onDeath(TEN_MINUTES_NANOS, "a", "g2@1")).isEqualTo(DeathVerdict.SUSPECTED);
	}

}
