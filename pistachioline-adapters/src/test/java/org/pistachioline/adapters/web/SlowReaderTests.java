package org.pistachioline.adapters.web;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Load: callers who send much or read nothing.
 */
@Timeout(60)
class SlowReaderTests {

	private static final int PIECE_BYTES = 1_000;

	private static final long MOST_BYTES = 200_000;

	private static final int BODY_BYTES = 60_000;

	private final HeldBytes held = new HeldBytes(MOST_BYTES);

	// Guards against streams that pile up in memory behind a caller who reads nothing.
	@Test
	void whatWaitsForOneSlowReaderIsBounded() throws Exception {
		final CountDownLatch blocked = new CountDownLatch(1);
		final AtomicLong most = new AtomicLong();
		try (WebLoop loop = new WebLoop("test")) {
			final WebServer server = serve(loop, (request, reply) -> {
				reply.begin(new AnswerHead(200, HeaderFields.EMPTY));
				while (reply.writable()) {
					reply.piece(new byte[PIECE_BYTES], 0, PIECE_BYTES);
					reply.flush();
					most.set(Math.max(most.get(), this.held.total()));
				}
				blocked.countDown();
			});
			final Socket caller = call(server, 0);
			blocked.await();
			assertThat(most.get()).isBetween(1L, 32_768L + 2 * PIECE_BYTES);
			caller.close();
			awaitNothingHeld(loop);
			server.stop();
		}
	}

	// Guards against responses that are kept for many callers and are missing from what
	// is held.
	@Test
	void whatIsKeptForAnAnswerCountsUntilItIsGiven() throws Exception {
		try (WebLoop loop = new WebLoop("test")) {
			final AtomicLong most = new AtomicLong();
			final WebServer server = serve(loop, (request, reply) -> {
				reply.hold(PIECE_BYTES);
				most.set(this.held.total());
				reply.whole(WebAnswer.text(200, "done"));
			});
			try (Socket caller = call(server, 0)) {
				assertThat(caller.getInputStream().read()).isEqualTo('H');
			}
			assertThat(most.get()).isEqualTo(PIECE_BYTES);
			awaitNothingHeld(loop);
			server.stop();
		}
	}

	// Guards against requests whose bodies together exceed the memory, while targets take
	// them slowly.
	@Test
	void whatIsHeldForAllCallersIsBounded() throws Exception {
		try (WebLoop loop = new WebLoop("test")) {
			final List<WebReply> unanswered = new CopyOnWriteArrayList<>();
			final WebServer server = serve(loop, (request, reply) -> unanswered.add(reply));
			final List<Socket> callers = new ArrayList<>();
			String refusal = "";
			while (refusal.isEmpty()) {
				final Socket caller = call(server, BODY_BYTES);
				callers.add(caller);
				refusal = refusalOf(loop, caller, () -> unanswered.size() == callers.size());
				assertThat(this.held.total()).isBetween((long) unanswered.size() * BODY_BYTES,
						MOST_BYTES + BODY_BYTES - 1);
			}
			assertThat(refusal).startsWith("HTTP/1.1 503");
			assertThat(callers).hasSizeGreaterThan((int) (MOST_BYTES / BODY_BYTES));
			for (final Socket caller : callers) {
				caller.close();
			}
			awaitNothingHeld(loop);
			server.stop();
		}
	}

	private WebServer serve(WebLoop loop, Answering answering) {
		final WebServer server = new WebServer(loop, "127.0.0.1:0", new WebHandler() {

			@Override
			public void handle(WebRequest request, WebReply reply) {
				answering.answer(request, reply);
			}

			@Override
			public WebAnswer onFault(RequestFault fault, HeaderFields headers) {
				assertThat(fault).isEqualTo(RequestFault.NO_ROOM);
				return WebAnswer.text(503, "later");
			}

		}, () -> RequestLimits.DEFAULT, this.held);
		server.start();
		return server;
	}

	private static Socket call(WebServer server, int bodyBytes) throws IOException {
		final String[] address = server.localAddress().split(":");
		final Socket caller = new Socket(address[0], Integer.parseInt(address[1]));
		caller.getOutputStream()
			.write(("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + bodyBytes + "\r\n\r\n" + "x".repeat(bodyBytes))
				.getBytes(StandardCharsets.US_ASCII));
		return caller;
	}

	// Waits until the request has been read whole, or refused. While a body is read, more
	// may be held for it than its size.
	private static String refusalOf(WebLoop loop, Socket caller, BooleanSupplier readWhole) throws Exception {
		while (!readWhole.getAsBoolean() && caller.getInputStream().available() == 0) {
			turn(loop);
		}
		return (caller.getInputStream().available() > 0)
				? new String(caller.getInputStream().readNBytes(12), StandardCharsets.US_ASCII) : "";
	}

	private void awaitNothingHeld(WebLoop loop) throws Exception {
		while (this.held.total() > 0) {
			turn(loop);
		}
	}

	private static void turn(WebLoop loop) throws InterruptedException {
		final CountDownLatch turned = new CountDownLatch(1);
		loop.execute(turned::countDown);
		turned.await();
	}

	private interface Answering {

		void answer(WebRequest request, WebReply reply);

	}

}
