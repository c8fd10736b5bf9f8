package org.pistachioline.daemon.peer;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.List;
import java.util.concurrent.locks.LockSupport;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class SeedProbeTests {

	private static final int MOST_CHECKS = 1_000;

	private static final long CHECK_NANOS = 10_000_000L;

	private static String addressOf(ServerSocket socket) {
		return "127.0.0.1:" + socket.getLocalPort();
	}

	@Test
	void aSeedThatListensIsAlive() throws IOException {
		try (ServerSocket seed = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
				SeedProbe probe = SeedProbe.begin(List.of(addressOf(seed)), "127.0.0.1:1")) {
			boolean answered = probe.anyAnswered();
			for (int i = 0; i < MOST_CHECKS && !answered; i++) {
				LockSupport.parkNanos(CHECK_NANOS);
				answered = probe.anyAnswered();
			}
			assertThat(answered).isTrue();
		}
	}

	/**
	 * All daemons were killed, and each of them starts again. Nobody is there to whom its
	 * callers could turn instead.
	 */
	@Test
	void aSeedThatWasKilledIsNot() throws IOException {
		final String address;
		try (ServerSocket seed = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			address = addressOf(seed);
		}
		try (SeedProbe probe = SeedProbe.begin(List.of(address), "127.0.0.1:1")) {
			LockSupport.parkNanos(CHECK_NANOS);
			assertThat(probe.anyAnswered()).isFalse();
		}
	}

	@Test
	void aDaemonThatIsASeedItselfDoesNotTakeItselfForAnother() throws IOException {
		try (ServerSocket self = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
				SeedProbe probe = SeedProbe.begin(List.of(addressOf(self)), addressOf(self))) {
			LockSupport.parkNanos(CHECK_NANOS);
			assertThat(probe.anyAnswered()).isFalse();
		}
	}

}
