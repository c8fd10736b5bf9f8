package org.pistachioline.standins.local;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class LocalProcessTests {

	/**
	 * Guards against a process that ended unseen: nobody could tell how from the failure
	 * of the test that came upon it.
	 */
	@Test
	void whoSignalsAProcessThatHasEndedIsToldHowItEndedAndWhatItPrinted() {
		try (LocalProcess process = LocalProcess.start("one-shot", List.of(), "org.pistachioline.NoSuchMain",
				List.of())) {
			assertThat(process.awaitExit()).isEqualTo(1);
			assertThatThrownBy(() -> process.signal("CONT")).isInstanceOf(IllegalStateException.class)
				.hasMessageContainingAll("one-shot took no signal CONT: kill ended with 1", "it ended with 1, ",
						"NoSuchMain");
		}
	}

	/**
	 * Guards against a crash in native code whose report nobody keeps.
	 */
	@Test
	void aCrashInNativeCodeIsToldInTheOutput() {
		try (LocalProcess process = LocalProcess.start("crashing", List.of("-Xmx16m"),
				"org.pistachioline.standins.StandInsMain", List.of("--engines", "1"))) {
			process.awaitLine("\"log\"");
			process.signal("SEGV");
			assertThat(process.awaitExit()).isEqualTo(134);
			assertThat(process.awaitOutput()).contains("SIGSEGV", "--engines 1");
		}
	}

}
