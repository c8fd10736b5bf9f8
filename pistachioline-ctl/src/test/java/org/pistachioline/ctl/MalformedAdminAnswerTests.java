package org.pistachioline.ctl;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Reads of a daemon whose answers break the grammar of HTTP.
 */
@Timeout(60)
class MalformedAdminAnswerTests {

	private final AdminClient admin = new AdminClient();

	// Guards against a state that an operator reads from a broken answer.
	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 000 OK\r\nContent-Length: 2", "HTTP/1.1 600 OK\r\nContent-Length: 2",
			"HTTP/1.1 200 OK\r\nContent-Length x: 2", "HTTP/1.1 200 OK\r\nX-A b: 1\r\nContent-Length: 2",
			"HTTP/1.1 200 OK\r\nX\u0001A: 1\r\nContent-Length: 2" })
	void aBrokenAnswerIsNotTaken(String head) throws IOException {
		try (ServerSocket server = new ServerSocket(0, 16, InetAddress.getLoopbackAddress())) {
			final CompletableFuture<Void> answered = CompletableFuture.runAsync(() -> answer(server, head));
			assertThatExceptionOfType(IOException.class)
				.isThrownBy(() -> this.admin.dump("127.0.0.1:" + server.getLocalPort()));
			answered.join();
		}
	}

	private static void answer(ServerSocket server, String head) {
		try (Socket connection = server.accept()) {
			final StringBuilder request = new StringBuilder();
			while (request.indexOf("\r\n\r\n") < 0) {
				request.append((char) connection.getInputStream().read());
			}
			connection.getOutputStream().write((head + "\r\n\r\n{}").getBytes(StandardCharsets.ISO_8859_1));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
