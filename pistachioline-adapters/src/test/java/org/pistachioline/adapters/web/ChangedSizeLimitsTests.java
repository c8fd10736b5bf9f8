package org.pistachioline.adapters.web;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests a configuration that changes the sizes of requests while connections are in use.
 */
class ChangedSizeLimitsTests {

	private static final RequestLimits SMALL = new RequestLimits(200, 3_000, 10, 10_000, 15_000);

	private static final RequestLimits LARGE = new RequestLimits(2_000, 3_000, 100, 10_000, 15_000);

	private static final String LONG_HEAD = "GET /copy/1 HTTP/1.1\r\nHost: shop\r\nX-A: " + "x".repeat(500)
			+ "\r\n\r\n";

	private final RecordingHandler handler = new RecordingHandler();

	private RequestLimits limits = SMALL;

	private EmbeddedChannel connect() {
		final ServerConnection connection = new ServerConnection(this.handler, () -> this.limits, () -> 0,
				HeldBytes.unbounded(), new RequestQueue(() -> 0), () -> false);
		final EmbeddedChannel channel = new EmbeddedChannel();
		connection.addTo(channel.pipeline());
		return channel;
	}

	private static String exchange(EmbeddedChannel channel, String text) {
		channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII));
		channel.runPendingTasks();
		final StringBuilder sent = new StringBuilder();
		for (ByteBuf part = channel.readOutbound(); part != null; part = channel.readOutbound()) {
			sent.append(part.toString(StandardCharsets.US_ASCII));
			part.release();
		}
		return sent.toString();
	}

	/**
	 * Guards against a head that the configuration allows being refused for good, since
	 * its connection was accepted before the limit was raised.
	 */
	@Test
	void aHeadOverAnEarlierLimitIsPutOffToANewConnection() {
		final EmbeddedChannel kept = connect();
		this.limits = LARGE;
		assertThat(exchange(kept, LONG_HEAD)).startsWith("HTTP/1.1 503 ").containsIgnoringCase("connection: close");
		exchange(connect(), LONG_HEAD);
		assertThat(this.handler.requests()).hasSize(1);
	}

	@Test
	void aHeadOverTheLimitInForceIsRefused() {
		assertThat(exchange(connect(), LONG_HEAD)).startsWith("HTTP/1.1 431 ");
	}

	/**
	 * Guards against a request being refused in the middle because a change of the
	 * configuration lowers the limit on its body.
	 */
	@Test
	void aBodyThatIsBeingReadHasTheLimitInForceWhenItBegan() {
		this.limits = LARGE;
		final EmbeddedChannel channel = connect();
		exchange(channel, "POST /copy/1 HTTP/1.1\r\nHost: shop\r\nContent-Length: 50\r\n\r\n" + "x".repeat(20));
		this.limits = SMALL;
		exchange(channel, "x".repeat(30));
		assertThat(this.handler.requests()).hasSize(1);
		this.handler.reply(0).whole(WebAnswer.text(200, "one"));
		assertThat(exchange(channel, "POST /copy/2 HTTP/1.1\r\nHost: shop\r\nContent-Length: 50\r\n\r\n"))
			.contains("HTTP/1.1 413 ");
	}

}
