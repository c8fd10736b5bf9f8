package org.pistachioline.adapters.web;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Load: a configuration that changes the times of callers while their connections are in
 * use, in virtual time.
 */
class ShortenedTimesTests {

	private static final RequestLimits LONG = new RequestLimits(1_000, 3_000, 100, 10_000, 15_000);

	private static final RequestLimits SHORT = new RequestLimits(1_000, 500, 100, 1_000, 2_000);

	private static final String GET = "GET /copy/1 HTTP/1.1\r\nHost: shop\r\n\r\n";

	private static final String HALF_HEAD = "GET /copy/1 HTTP/1.1\r\nHo";

	private static final String HALF_BODY = "POST /copy/1 HTTP/1.1\r\nContent-Length: 4\r\n\r\nab";

	private final RecordingHandler handler = new RecordingHandler();

	private long nowMillis = 7_000;

	private RequestLimits limits = LONG;

	private final ServerConnection connection = new ServerConnection(this.handler, () -> this.limits, this::nowNanos,
			HeldBytes.unbounded(), new RequestQueue(this::nowNanos), () -> false);

	private final EmbeddedChannel channel = channelOf(this.connection);

	// Guards against a request that is on its way to a kept connection when a change of
	// the configuration closes it.
	@Test
	void aKeptConnectionIsIdleAsLongAsWhenItsLastAnswerWasSent() {
		send(GET);
		this.handler.reply(0).whole(WebAnswer.text(200, "one"));
		this.limits = SHORT;
		sweepAfter(LONG.idleMillis() - 500);
		assertThat(this.channel.isOpen()).isTrue();
		sweepAfter(1_000);
		assertThat(this.channel.isOpen()).isFalse();
	}

	// Guards against the same on a connection that has not carried a request yet.
	@Test
	void aNewConnectionIsIdleAsLongAsWhenItWasMade() {
		this.limits = SHORT;
		sweepAfter(LONG.idleMillis() - 500);
		assertThat(this.channel.isOpen()).isTrue();
		sweepAfter(1_000);
		assertThat(this.channel.isOpen()).isFalse();
	}

	// Guards against times that are never shortened on a connection that is used all the
	// time.
	@Test
	void aShorterIdleTimeHoldsFromTheNextAnswerOn() {
		this.limits = SHORT;
		send(GET);
		this.handler.reply(0).whole(WebAnswer.text(200, "one"));
		sweepAfter(SHORT.idleMillis() + 500);
		assertThat(this.channel.isOpen()).isFalse();
	}

	// Guards against a request that is refused in the middle because a change of the
	// configuration shortens its time.
	@Test
	void aRequestThatIsBeingReadHasTheTimeInForceWhenItBegan() {
		assertThatOnlyTheTimeAtItsBeginCounts(HALF_HEAD, LONG.headMillis());
		assertThatOnlyTheTimeAtItsBeginCounts(HALF_BODY, LONG.bodyMillis());
	}

	// Guards against a request that is read behind the answer to another one and loses
	// the
	// time under which it began.
	@Test
	void aRequestBehindAnAnswerKeepsTheTimeInForceWhenItBegan() {
		this.limits = LONG;
		send(GET);
		send(HALF_HEAD);
		this.limits = SHORT;
		this.handler.reply(0).whole(WebAnswer.text(200, "one"));
		text(this.channel);
		sweepAfter(LONG.headMillis() - 500);
		assertThat(text(this.channel)).isEmpty();
		sweepAfter(1_000);
		assertThat(text(this.channel)).startsWith("HTTP/1.1 408 ");
	}

	private void assertThatOnlyTheTimeAtItsBeginCounts(String begin, long mostMillis) {
		this.limits = LONG;
		final ServerConnection slow = new ServerConnection(this.handler, () -> this.limits, this::nowNanos,
				HeldBytes.unbounded(), new RequestQueue(this::nowNanos), () -> false);
		final EmbeddedChannel slowChannel = channelOf(slow);
		slowChannel.writeInbound(buffer(begin));
		this.limits = SHORT;
		this.nowMillis += mostMillis - 500;
		slow.sweep(nowNanos());
		assertThat(text(slowChannel)).isEmpty();
		this.nowMillis += 1_000;
		slow.sweep(nowNanos());
		assertThat(text(slowChannel)).startsWith("HTTP/1.1 408 ");
	}

	// Guards against longer times that come into force only with the next request.
	@Test
	void longerTimesHoldAtOnce() {
		this.limits = SHORT;
		send(GET);
		this.handler.reply(0).whole(WebAnswer.text(200, "one"));
		this.limits = LONG;
		sweepAfter(LONG.idleMillis() - 500);
		assertThat(this.channel.isOpen()).isTrue();
		text(this.channel);
		this.limits = SHORT;
		send(HALF_HEAD);
		this.limits = LONG;
		sweepAfter(LONG.headMillis() - 500);
		assertThat(text(this.channel)).isEmpty();
		sweepAfter(1_000);
		assertThat(text(this.channel)).startsWith("HTTP/1.1 408 ");
	}

	private void sweepAfter(long millis) {
		this.nowMillis += millis;
		this.connection.sweep(nowNanos());
	}

	private long nowNanos() {
		return TimeUnit.MILLISECONDS.toNanos(this.nowMillis);
	}

	private void send(String bytes) {
		this.channel.writeInbound(buffer(bytes));
	}

	private static EmbeddedChannel channelOf(ServerConnection own) {
		final EmbeddedChannel created = new EmbeddedChannel();
		own.addTo(created.pipeline());
		return created;
	}

	private static ByteBuf buffer(String bytes) {
		return Unpooled.copiedBuffer(bytes, StandardCharsets.US_ASCII);
	}

	private static String text(EmbeddedChannel channel) {
		final StringBuilder text = new StringBuilder();
		ByteBuf written = channel.readOutbound();
		while (written != null) {
			text.append(written.toString(StandardCharsets.US_ASCII));
			written.release();
			written = channel.readOutbound();
		}
		return text.toString();
	}

}
