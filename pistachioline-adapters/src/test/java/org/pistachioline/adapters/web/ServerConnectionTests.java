package org.pistachioline.adapters.web;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class ServerConnectionTests {

	/** The clock of these tests stands still; only sweeps are told of later times. */
	private static final long START_NANOS = 7_000_000_000L;

	private static final RequestLimits LIMITS = new RequestLimits(1_000, 3_000, 100, 10_000, 15_000);

	private static final String POST = "POST /copy/1?a=%20b HTTP/1.1\r\nHost: shop\r\nContent-Length: 6\r\n\r\nprompt";

	private static final String CHUNKED = "POST /copy/2 HTTP/1.1\r\nHost: shop\r\nTransfer-Encoding: chunked\r\n\r\n"
			+ "3\r\npro\r\n3\r\nmpt\r\n0\r\n\r\n";

	private final RecordingHandler handler = new RecordingHandler();

	private final ServerConnection connection = new ServerConnection(this.handler, () -> LIMITS, () -> START_NANOS,
			HeldBytes.unbounded(), new RequestQueue(() -> START_NANOS), () -> false);

	private final EmbeddedChannel channel = channelOf(this.connection);

	@Test
	void aRequestComesWholeWithItsTargetAsItWasSent() {
		send(POST);
		final WebRequest request = this.handler.requests().get(0);
		assertThat(request.method()).isEqualTo("POST");
		assertThat(request.target()).isEqualTo("/copy/1?a=%20b");
		assertThat(request.path()).isEqualTo("/copy/1");
		assertThat(request.parameter("a")).contains(" b");
		assertThat(request.headers().first("host")).contains("shop");
		assertThat(request.body().text()).isEqualTo("prompt");
	}

	/**
	 * Requests arrive cut anywhere, and several on one connection. Whatever the cuts, the
	 * handler sees the same requests, and the second one only after the first is
	 * answered.
	 * @param cut the size of the pieces
	 */
	@Property(seed = "7")
	void cutsChangeNothing(@ForAll @IntRange(min = 1, max = 200) int cut) {
		final RecordingHandler recorder = new RecordingHandler();
		final EmbeddedChannel cutChannel = channelOf(new ServerConnection(recorder, () -> LIMITS, () -> START_NANOS,
				HeldBytes.unbounded(), new RequestQueue(() -> START_NANOS), () -> false));
		final String both = POST + CHUNKED;
		for (int start = 0; start < both.length(); start += cut) {
			cutChannel.writeInbound(buffer(both.substring(start, Math.min(both.length(), start + cut))));
		}
		assertThat(recorder.requests()).hasSize(1);
		recorder.reply(0).whole(WebAnswer.text(200, "one"));
		assertThat(recorder.requests()).extracting((request) -> request.body().text())
			.containsExactly("prompt", "prompt");
	}

	@Test
	void aWholeAnswerHasItsLength() {
		send(POST);
		this.handler.reply(0).whole(WebAnswer.text(503, "later").with("Retry-After", "0.50"));
		assertThat(sent()).startsWith("HTTP/1.1 503 ")
			.containsIgnoringCase("\r\nretry-after: 0.50\r\n")
			.containsIgnoringCase("\r\ncontent-length: 5\r\n")
			.endsWith("\r\n\r\nlater");
		assertThat(this.channel.isOpen()).isTrue();
	}

	@Test
	void anAnswerInPiecesEndsWithAnEmptyChunk() {
		send(POST);
		stream("id: 1\n\n");
		assertThat(sent()).containsIgnoringCase("transfer-encoding: chunked").endsWith("7\r\nid: 1\n\n\r\n");
		this.handler.reply(0).end();
		assertThat(sent()).isEqualTo("0\r\n\r\n");
		assertThat(this.channel.isOpen()).isTrue();
	}

	/**
	 * No target can go on with a stream. An end in order would tell the caller that it
	 * has all events.
	 */
	@Test
	void anAnswerThatIsBrokenOffDoesNotLookComplete() {
		send(POST);
		stream("id: 1\n\n");
		this.handler.reply(0).breakOff();
		assertThat(sent()).doesNotContain("0\r\n\r\n");
		assertThat(this.channel.isOpen()).isFalse();
		assertThat(this.handler.gone()).isZero();
	}

	// Guards against an answer that this process cuts off and that is taken for one whose
	// caller left.
	@Test
	void anAnswerThatIsCutOffByAFailureOnItsConnectionIsReported() {
		send(POST);
		this.channel.pipeline().fireExceptionCaught(new IllegalStateException("failure of the test"));
		this.channel.runPendingTasks();
		assertThat(this.handler.closings()).containsExactly(CloseCause.CONNECTION_FAILED);
		assertThat(this.handler.gone()).isOne();
		assertThat(this.channel.isOpen()).isFalse();
	}

	// Guards against a request whose connection is closed without an answer since this
	// process failed while it read the body.
	@Test
	void aRequestThatCannotBeReadForAFailureOfThisProcessIsAnswered() {
		send(POST.substring(0, POST.length() - 2));
		this.channel.pipeline().fireExceptionCaught(new IllegalStateException("failure of the test"));
		this.channel.runPendingTasks();
		assertThat(sent()).startsWith("HTTP/1.1 500 ").containsIgnoringCase("connection: close");
		assertThat(this.handler.requests()).isEmpty();
	}

	// Guards against callers who wait for an answer from a handler that has failed.
	@Test
	void aRequestThatItsHandlerFailsOnIsAnswered() {
		final EmbeddedChannel other = channelOf(new ServerConnection((request, reply) -> {
			throw new IllegalStateException("failure of the test");
		}, () -> LIMITS, () -> START_NANOS, HeldBytes.unbounded(), new RequestQueue(() -> START_NANOS), () -> false));
		other.writeInbound(buffer(POST));
		assertThat(text(other)).startsWith("HTTP/1.1 500 ");
	}

	// Guards against callers' resets that are reported as failures of this process.
	@Test
	void aConnectionThatItsCallerResetsIsNotReported() {
		send(POST);
		this.channel.pipeline().fireExceptionCaught(new IOException("Connection reset"));
		this.channel.runPendingTasks();
		assertThat(this.handler.closings()).isEmpty();
		assertThat(this.handler.gone()).isOne();
	}

	// Guards against a stop that drops requests without a trace.
	@Test
	void aStopReportsTheRequestInProgressAndTheOneBehindIt() {
		send(POST);
		send(CHUNKED);
		this.connection.stop();
		this.channel.runPendingTasks();
		assertThat(this.handler.closings()).containsExactly(CloseCause.SERVER_STOPPED);
		assertThat(this.handler.unhandled()).containsExactly("/copy/2 server_stopped");
		assertThat(this.handler.requests()).hasSize(1);
	}

	// Guards against reports of answers that have ended.
	@Test
	void aStopReportsNothingForAnswersThatHaveEnded() {
		send(POST);
		this.handler.reply(0).whole(WebAnswer.text(200, "done"));
		send(POST);
		stream("id: 1\n\n");
		this.handler.reply(1).breakOff();
		this.connection.stop();
		assertThat(this.handler.closings()).isEmpty();
		assertThat(this.handler.unhandled()).isEmpty();
	}

	/**
	 * A stream has begun, then its group stands still. The caller closes its connection.
	 * Nothing is written that could fail, so the stream would be resumed at another
	 * target, which works for nobody while others wait.
	 */
	@Test
	void aCallerWhoLeavesWhileItsStreamStandsStillIsNoticed() {
		send(POST);
		stream("id: 1\n\n");
		this.channel.close();
		assertThat(this.handler.gone()).isEqualTo(1);
	}

	@Test
	void aCallerWhoLeavesBeforeItsAnswerBeginsIsNoticed() {
		send(POST);
		this.channel.close();
		assertThat(this.handler.gone()).isEqualTo(1);
		this.handler.reply(0).whole(WebAnswer.text(200, "late"));
		assertThat(this.channel.outboundMessages()).isEmpty();
	}

	@Test
	void aRequestThatWaitsBehindAnotherIsNotRunForACallerWhoLeft() {
		send(POST + CHUNKED);
		this.channel.close();
		assertThat(this.handler.requests()).hasSize(1);
	}

	// Guards against requests that pile up behind the one that is answered, since each
	// answer lets another piece in.
	@Test
	void nothingIsReadWhileMoreThanOneRequestWaits() {
		send(POST + POST + POST + POST);
		assertThat(this.channel.config().isAutoRead()).isFalse();
		this.handler.reply(0).whole(WebAnswer.text(200, "one"));
		assertThat(this.channel.config().isAutoRead()).isFalse();
		this.handler.reply(1).whole(WebAnswer.text(200, "two"));
		assertThat(this.channel.config().isAutoRead()).isTrue();
	}

	@Test
	void theCallersWishToCloseIsKept() {
		send(POST.replace("Host", "Connection: close\r\nHost"));
		this.handler.reply(0).whole(WebAnswer.text(200, "one"));
		assertThat(sent()).containsIgnoringCase("\r\nconnection: close\r\n");
		assertThat(this.channel.isOpen()).isFalse();
	}

	@Test
	void anAnswerThatSaysCloseClosesAfterItsLastByte() {
		send(POST);
		this.handler.reply(0).whole(WebAnswer.text(200, "one").with("Connection", "close"));
		assertThat(sent()).endsWith("one");
		assertThat(this.channel.isOpen()).isFalse();
	}

	@Test
	void whatIsOverALimitOrNoRequestIsRefusedAndNotHandled() {
		assertRefused("GET /" + "x".repeat(2_000) + " HTTP/1.1\r\n\r\n", 431);
		assertRefused("GET / HTTP/1.1\r\nA: " + "x".repeat(2_000) + "\r\n\r\n", 431);
		assertRefused("POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n", 413);
		assertRefused("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n65\r\n" + "x".repeat(101) + "\r\n", 413);
		assertRefused("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", 400);
		assertRefused("POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", 400);
		assertRefused("nonsense\r\n\r\n", 400);
	}

	/**
	 * A caller sends the half of a head and then nothing. Many of them would use up the
	 * process's descriptors, and others could not connect.
	 */
	@Test
	void aHeadOrABodyThatNeverEndsIsRefusedAfterItsTime() {
		send("POST / HTTP/1.1\r\nHo");
		sweep(LIMITS.headMillis() - 500);
		assertThat(this.channel.outboundMessages()).isEmpty();
		sweep(LIMITS.headMillis() + 500);
		assertThat(sent()).startsWith("HTTP/1.1 408 ");
		final ServerConnection slow = new ServerConnection(this.handler, () -> LIMITS, () -> START_NANOS,
				HeldBytes.unbounded(), new RequestQueue(() -> START_NANOS), () -> false);
		final EmbeddedChannel other = channelOf(slow);
		other.writeInbound(buffer("POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\nab"));
		slow.sweep(START_NANOS + TimeUnit.MILLISECONDS.toNanos(LIMITS.headMillis() + 500));
		assertThat(other.outboundMessages()).isEmpty();
		slow.sweep(START_NANOS + TimeUnit.MILLISECONDS.toNanos(LIMITS.bodyMillis() + 500));
		assertThat(text(other)).startsWith("HTTP/1.1 408 ");
		assertThat(this.handler.requests()).isEmpty();
	}

	/**
	 * A request is answered in the very moment in which it is read. Its connection is
	 * idle then; taken for one on which a head has begun, it would be told of a time-out
	 * that it has not earned.
	 */
	@Test
	void aConnectionWhoseRequestIsAnsweredAtOnceIsIdle() {
		final ServerConnection quick = new ServerConnection(
				(request, reply) -> reply.whole(WebAnswer.text(404, "none")), () -> LIMITS, () -> START_NANOS,
				HeldBytes.unbounded(), new RequestQueue(() -> START_NANOS), () -> false);
		final EmbeddedChannel other = channelOf(quick);
		other.writeInbound(buffer(POST));
		assertThat(text(other)).startsWith("HTTP/1.1 404 ");
		quick.sweep(START_NANOS + TimeUnit.MILLISECONDS.toNanos(LIMITS.headMillis() + 500));
		assertThat(other.outboundMessages()).isEmpty();
		assertThat(other.isOpen()).isTrue();
	}

	@Test
	void anIdleConnectionClosesAndOneThatWaitsForItsAnswerDoesNot() {
		send(POST);
		sweep(LIMITS.idleMillis() + 500);
		assertThat(this.channel.isOpen()).isTrue();
		this.handler.reply(0).whole(WebAnswer.text(200, "one"));
		sweep(LIMITS.idleMillis() - 500);
		assertThat(this.channel.isOpen()).isTrue();
		sweep(LIMITS.idleMillis() + 500);
		assertThat(this.channel.isOpen()).isFalse();
	}

	private void assertRefused(String request, int status) {
		final RecordingHandler recorder = new RecordingHandler();
		final EmbeddedChannel refused = channelOf(new ServerConnection(recorder, () -> LIMITS, () -> START_NANOS,
				HeldBytes.unbounded(), new RequestQueue(() -> START_NANOS), () -> false));
		refused.writeInbound(buffer(request));
		assertThat(text(refused)).startsWith("HTTP/1.1 " + status + ' ');
		assertThat(refused.isOpen()).isFalse();
		assertThat(recorder.requests()).isEmpty();
	}

	private static EmbeddedChannel channelOf(ServerConnection own) {
		final EmbeddedChannel created = new EmbeddedChannel();
		own.addTo(created.pipeline());
		return created;
	}

	private void sweep(long afterMillis) {
		this.connection.sweep(START_NANOS + TimeUnit.MILLISECONDS.toNanos(afterMillis));
	}

	private void stream(String event) {
		final byte[] bytes = event.getBytes(StandardCharsets.US_ASCII);
		this.handler.reply(0).begin(new AnswerHead(200, HeaderFields.EMPTY));
		this.handler.reply(0).piece(bytes, 0, bytes.length);
		this.handler.reply(0).flush();
	}

	private void send(String bytes) {
		this.channel.writeInbound(buffer(bytes));
	}

	private String sent() {
		return text(this.channel);
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

	private static ByteBuf buffer(String bytes) {
		return Unpooled.copiedBuffer(bytes, StandardCharsets.US_ASCII);
	}

}
