package org.pistachioline.daemon.relay;

import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;

import org.pistachioline.core.traffic.AttemptOutcome;

import static org.assertj.core.api.Assertions.assertThat;

class AttemptHistoryTests {

	private final AttemptHistory history = new AttemptHistory(0);

	@Test
	void theSummaryListsTheAttemptsInOrder() {
		assertThat(this.history.summary("")).isEmpty();
		this.history.onEnd("i-1@3", AttemptOutcome.CANCELLED);
		this.history.onEnd("i-2@4", AttemptOutcome.DECLINED);
		assertThat(this.history.summary("")).isEqualTo("i-1@3 cancelled, i-2@4 declined");
		assertThat(this.history.summary("i-3@5")).isEqualTo("i-1@3 cancelled, i-2@4 declined, i-3@5 running");
	}

	// Guards against a line that grows with each attempt that is withheld.
	@Test
	void theSummaryKeepsTheLastAttempts() {
		for (int i = 0; i < 10; i++) {
			this.history.onEnd("i-" + i + "@1", AttemptOutcome.WITHHELD);
		}
		assertThat(this.history.summary("")).startsWith("2 earlier, i-2@1 withheld, i-3@1 withheld")
			.endsWith("i-9@1 withheld");
	}

	@Test
	void theSilenceCountsFromTheLastBytes() {
		assertThat(this.history.silentMillis(TimeUnit.MILLISECONDS.toNanos(40))).isEqualTo(40);
		this.history.onBytes(TimeUnit.MILLISECONDS.toNanos(100));
		assertThat(this.history.silentMillis(TimeUnit.MILLISECONDS.toNanos(850))).isEqualTo(750);
	}

}
