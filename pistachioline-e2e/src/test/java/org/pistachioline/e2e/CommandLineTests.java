package org.pistachioline.e2e;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import org.pistachioline.standins.local.LocalProcess;

import static org.assertj.core.api.Assertions.assertThat;

class CommandLineTests {

	private static final String CTL = "org.pistachioline.ctl.CtlMain";

	private static final String DAEMON = "org.pistachioline.daemon.DaemonMain";

	@TempDir
	private Path folder;

	@Test
	void settingsWithFaultsStartNothingAndAllFaultsAreNamed() throws IOException {
		final Path settings = file("""
				[daemon]
				id = 7
				[callers]
				address = "nowhere"
				colour = "blue"
				""");
		try (LocalProcess daemon = run(DAEMON, "--config", settings.toString())) {
			assertThat(daemon.awaitExit()).isEqualTo(2);
			assertThat(daemon.awaitOutput()).contains("daemon.id", "callers.address", "callers.colour", "log.address",
					"instances.address");
		}
	}

	@Test
	void aManifestWithFaultsIsNotPublishedAndAllFaultsAreNamed() throws IOException {
		final Path manifest = file("""
				base_version = -1
				[[models]]
				name = "sign-copy"
				pool = "nowhere"
				members = 0
				""");
		try (LocalProcess ctl = run(CTL, "validate", manifest.toString())) {
			assertThat(ctl.awaitExit()).isEqualTo(2);
			assertThat(ctl.awaitOutput()).contains("base_version", "models[0].pool", "models[0].members");
		}
	}

	@Test
	void anUnknownCommandAndAMissingFileAreUsageErrors() {
		try (LocalProcess unknown = run(CTL, "destroy");
				LocalProcess missing = run(DAEMON, "--config", this.folder.resolve("none.toml").toString())) {
			assertThat(unknown.awaitExit()).isEqualTo(2);
			assertThat(missing.awaitExit()).isEqualTo(2);
		}
	}

	// Two operators publish on the same base version at the same time. Exactly one may
	// win,
	// and the other must be told, or its changes would vanish without a word.
	@Test
	@Tag("known-red")
	void ofTwoRacingOperatorsOneWinsAndTheOtherIsTold() throws IOException {
		try (TestSystem system = new TestSystem(1, "")) {
			final Path manifest = file(TestSystem.MANIFEST.formatted(1));
			final String[] publish = { "publish", manifest.toString(), "--log", system.standIns().log(), "--admin",
					system.daemon(0).admin() };
			try (LocalProcess one = run(CTL, publish); LocalProcess two = run(CTL, publish)) {
				assertThat(List.of(one.awaitExit(), two.awaitExit())).containsExactlyInAnyOrder(0, 4);
				assertThat(one.awaitOutput() + two.awaitOutput()).contains("accepted as version 2",
						"version 2 is in force");
			}
		}
	}

	private Path file(String text) throws IOException {
		return Files.writeString(this.folder.resolve("input.toml"), text);
	}

	private static LocalProcess run(String mainClass, String... arguments) {
		return LocalProcess.start(mainClass, TestSystem.JVM_OPTIONS, mainClass, List.of(arguments));
	}

}
