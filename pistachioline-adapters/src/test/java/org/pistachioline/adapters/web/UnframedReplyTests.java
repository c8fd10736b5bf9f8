package org.pistachioline.adapters.web;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Streams to callers that know no chunks, so that the end of the connection is the end of
 * the stream.
 */
@Timeout(60)
class UnframedReplyTests {

	private static final byte[] EVENT = "id: 1\n\n".getBytes(StandardCharsets.US_ASCII);

	private final WebLoop loop = new WebLoop("test");

	private final CompletableFuture<WebReply> begun = new CompletableFuture<>();

	private final WebServer server = new WebServer(this.loop, "127.0.0.1:0", this::begin, () -> RequestLimits.DEFAULT);

	@BeforeEach
	void start() {
		this.server.start();
	}

	@AfterEach
	void stop() {
		this.server.stop();
		this.loop.close();
	}

	private void begin(WebRequest request, WebReply reply) {
		reply.begin(new AnswerHead(200, HeaderFields.EMPTY));
		reply.piece(EVENT, 0, EVENT.length);
		reply.flush();
		this.begun.complete(reply);
	}

	// Guards against a truncated stream that looks complete because this process ended.
	@Test
	void aStreamThatTheServersEndCutsOffIsReset() throws IOException {
		try (Socket caller = call()) {
			readEvent(caller);
			this.server.stop();
			assertThatExceptionOfType(SocketException.class).isThrownBy(() -> caller.getInputStream().read());
		}
	}

	@Test
	void aCompleteStreamIsClosedInOrder() throws IOException {
		try (Socket caller = call()) {
			readEvent(caller);
			final WebReply reply = this.begun.join();
			this.loop.execute(reply::end);
			assertThat(caller.getInputStream().read()).isEqualTo(-1);
		}
	}

	private Socket call() throws IOException {
		final String[] address = this.server.localAddress().split(":");
		final Socket caller = new Socket(address[0], Integer.parseInt(address[1]));
		caller.getOutputStream().write("GET /copy HTTP/1.0\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
		return caller;
	}

	private static void readEvent(Socket caller) throws IOException {
		final StringBuilder received = new StringBuilder();
		while (received.indexOf("\r\n\r\nid: 1\n\n") < 0) {
			final int next = caller.getInputStream().read();
			assertThat(next).isNotNegative();
			received.append((char) next);
		}
	}

}
