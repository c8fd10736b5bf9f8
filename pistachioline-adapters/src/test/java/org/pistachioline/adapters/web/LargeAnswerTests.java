package org.pistachioline.adapters.web;

import java.io.InputStream;
import java.lang.management.BufferPoolMXBean;
import java.lang.management.ManagementFactory;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.function.BooleanSupplier;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Load: large answers to callers who take them slowly.
 */
@Timeout(60)
class LargeAnswerTests {

	private static final int BODY_BYTES = 16 * 1024 * 1024;

	private static final int PIECE_BYTES = 8_192;

	private static final long MOST_DIRECT_BYTES = 1024 * 1024;

	private final HeldBytes held = new HeldBytes(Long.MAX_VALUE);

	// Guards against a large answer that needs its whole size of direct memory.
	@Test
	void aLargeAnswerNeedsLittleDirectMemory() throws Exception {
		try (WebLoop loop = new WebLoop("test")) {
			final WebServer server = serve(loop);
			final long before = directBytes();
			try (Socket caller = call(server)) {
				assertThat(read(caller.getInputStream())).isEqualTo(BODY_BYTES);
			}
			assertThat(directBytes() - before).isLessThan(MOST_DIRECT_BYTES);
			server.stop();
		}
	}

	// Guards against a large answer that waits whole in the buffer of its connection.
	@Test
	void aLargeAnswerIsWrittenAsItsCallerTakesIt() throws Exception {
		try (WebLoop loop = new WebLoop("test")) {
			final WebServer server = serve(loop);
			try (Socket caller = call(server)) {
				awaitTurns(loop);
				assertThat(this.held.total()).isLessThan(MOST_DIRECT_BYTES);
				assertThat(read(caller.getInputStream())).isEqualTo(BODY_BYTES);
			}
			server.stop();
		}
	}

	// Guards against a connection on which nothing is answered behind a large answer.
	@Test
	void theNextRequestIsAnsweredBehindALargeAnswer() throws Exception {
		try (WebLoop loop = new WebLoop("test")) {
			final WebServer server = serve(loop);
			try (Socket caller = call(server)) {
				send(caller);
				assertThat(read(caller.getInputStream())).isEqualTo(BODY_BYTES);
				assertThat(read(caller.getInputStream())).isEqualTo(BODY_BYTES);
			}
			server.stop();
		}
	}

	// Guards against a large answer that is kept forever for a caller who does not take
	// it.
	@Test
	void aCallerWhoTakesNothingOfItsAnswerIsDisconnected() throws Exception {
		try (WebLoop loop = new WebLoop("test")) {
			final WebServer server = serve(loop, new RequestLimits(8_192, 1_000, 8_192, 1_000, 100));
			try (Socket caller = call(server)) {
				awaitTurnsUntil(loop, () -> this.held.total() > 0);
				awaitTurnsUntil(loop, () -> this.held.total() == 0);
				assertThat(caller.isClosed()).isFalse();
			}
			server.stop();
		}
	}

	private WebServer serve(WebLoop loop) {
		return serve(loop, RequestLimits.DEFAULT);
	}

	private WebServer serve(WebLoop loop, RequestLimits limits) {
		final WebServer server = new WebServer(loop, "127.0.0.1:0", new WebHandler() {

			@Override
			public void handle(WebRequest request, WebReply reply) {
				reply.whole(new WebAnswer(new AnswerHead(200, HeaderFields.EMPTY), body()));
			}

			@Override
			public WebAnswer onFault(RequestFault fault, HeaderFields headers) {
				return WebAnswer.text(500, fault.name());
			}

		}, () -> limits, this.held);
		server.start();
		return server;
	}

	// Each byte shows its place, so that exchanged blocks are found.
	private static Body body() {
		final BlockBuffer buffer = new BlockBuffer();
		final byte[] piece = new byte[PIECE_BYTES];
		for (int sent = 0; sent < BODY_BYTES; sent += PIECE_BYTES) {
			for (int i = 0; i < PIECE_BYTES; i++) {
				piece[i] = byteAt(sent + i);
			}
			buffer.append(piece);
		}
		return buffer.takeBody();
	}

	private static byte byteAt(int place) {
		return (byte) (place * 31 + place / 4_096);
	}

	private static Socket call(WebServer server) throws Exception {
		final String[] address = server.localAddress().split(":");
		final Socket caller = new Socket(address[0], Integer.parseInt(address[1]));
		send(caller);
		return caller;
	}

	private static void send(Socket caller) throws Exception {
		caller.getOutputStream().write("GET / HTTP/1.1\r\nHost: h\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
	}

	// Returns the size of the body, whose bytes are checked.
	private static int read(InputStream in) throws Exception {
		final StringBuilder head = new StringBuilder();
		while (head.indexOf("\r\n\r\n") < 0) {
			head.append((char) in.read());
		}
		assertThat(head.toString().toLowerCase()).startsWith("http/1.1 200").contains("content-length: " + BODY_BYTES);
		final byte[] body = in.readNBytes(BODY_BYTES);
		for (int i = 0; i < body.length; i++) {
			if (body[i] != byteAt(i)) {
				throw new AssertionError("Another byte at " + i);
			}
		}
		return body.length;
	}

	private static long directBytes() {
		return ManagementFactory.getPlatformMXBeans(BufferPoolMXBean.class)
			.stream()
			.filter((pool) -> pool.getName().equals("direct"))
			.mapToLong(BufferPoolMXBean::getMemoryUsed)
			.sum();
	}

	// After some turns of the loop, the answer has been written as far as the caller's
	// buffers take it.
	private static void awaitTurns(WebLoop loop) throws InterruptedException {
		for (int i = 0; i < 100; i++) {
			awaitTurn(loop);
		}
	}

	private static void awaitTurnsUntil(WebLoop loop, BooleanSupplier condition) throws InterruptedException {
		while (!condition.getAsBoolean()) {
			awaitTurn(loop);
		}
	}

	private static void awaitTurn(WebLoop loop) throws InterruptedException {
		final CountDownLatch turned = new CountDownLatch(1);
		loop.execute(turned::countDown);
		turned.await();
	}

}
