package org.pistachioline.daemon.event;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.locks.LockSupport;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.assertj.core.api.Assertions.assertThat;

class BlockedOutputTests {

	private static final int MAX_CHECKS = 6_000;

	private static final long CHECK_INTERVAL_NANOS = 10_000_000L;

	/**
	 * The program that collects a daemon's output stops reading it. The pipe fills, and a
	 * daemon that waited for room would serve nobody until someone reads again.
	 */
	@Test
	void aProcessKeepsRunningWhenItsOutputIsNotRead(@TempDir Path folder) throws IOException {
		final Path done = folder.resolve("done");
		final Process process = new ProcessBuilder(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
				"-Dpistachioline.logging.format=json", "-cp", System.getProperty("java.class.path"),
				EventBurst.class.getName(), done.toString())
			.redirectError(ProcessBuilder.Redirect.DISCARD)
			.start();
		try {
			for (int i = 0; i < MAX_CHECKS && process.isAlive() && !Files.exists(done); i++) {
				LockSupport.parkNanos(CHECK_INTERVAL_NANOS);
			}
			assertThat(done).exists();
		}
		finally {
			process.destroyForcibly();
		}
	}

}
