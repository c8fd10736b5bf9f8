package org.pistachioline.daemon.http;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;

import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import org.pistachioline.adapters.http.ActorSystems;

import static org.assertj.core.api.Assertions.assertThat;

class ParsingErrorsTests {

	private final ActorSystem<Void> system = ActorSystems.create("parsing", ParsingErrors.PEKKO_SETTINGS);

	private final HttpServer server = new HttpServer(this.system, "127.0.0.1:0",
			(request) -> CompletableFuture.completedFuture(HttpResponse.create()));

	@BeforeEach
	void start() {
		this.server.start();
	}

	@AfterEach
	void stop() {
		this.server.stop();
		this.system.terminate();
	}

	private String send(String bytes) throws IOException {
		final String address = this.server.localAddress();
		final int port = Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
		try (Socket socket = new Socket("127.0.0.1", port)) {
			socket.getOutputStream().write(bytes.getBytes(StandardCharsets.ISO_8859_1));
			socket.shutdownOutput();
			return new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
		}
	}

	// Guards against an answer that does not tell whether the request was run, when a
	// header is so large that the HTTP parser rejects the request before this daemon's
	// code sees it.
	@Test
	void oversizedHeadersAreRejectedAsNotRun() throws IOException {
		final String response = send("GET /v1/models HTTP/1.1\r\nHost: a\r\nX: " + "x".repeat(20_000) + "\r\n\r\n");
		assertThat(response).startsWith("HTTP/1.1 431 ")
			.contains("Pistachioline-Run: not-run")
			.contains("\"code\":\"head_too_large\"");
	}

	// Guards against the same unclear answer when a client that does not speak HTTP, such
	// as one that starts TLS, connects to the callers' port.
	@Test
	void bytesThatAreNotHttpAreRejectedAsNotRun() throws IOException {
		assertThat(send("\u0016\u0003\u0001 nonsense\r\n\r\n")).contains("Pistachioline-Run: not-run")
			.contains("\"code\":\"malformed_request\"");
	}

}
