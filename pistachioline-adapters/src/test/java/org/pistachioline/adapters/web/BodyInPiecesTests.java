package org.pistachioline.adapters.web;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.embedded.EmbeddedChannel;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Load: callers whose bodies come in very many pieces.
 */
@Timeout(30)
class BodyInPiecesTests {

	private static final String HEAD = "POST /a HTTP/1.1\r\nHost: h\r\n";

	private static final String CHUNKED_HEAD = HEAD + "Transfer-Encoding: chunked\r\n\r\n";

	private static final String LAST_CHUNK = "0\r\n\r\n";

	private static final String ONE_BYTE_CHUNK = "1\r\np\r\n";

	private static final int MANY_PIECES = 400_000;

	private static final RequestLimits LIMITS = new RequestLimits(1_000, 60_000, 4_194_304, 60_000, 60_000);

	private final RecordingHandler handler = new RecordingHandler();

	private final HeldBytes held = new HeldBytes(Long.MAX_VALUE);

	private final ServerConnection connection = new ServerConnection(this.handler, () -> LIMITS, System::nanoTime,
			this.held, new RequestQueue(System::nanoTime), () -> false);

	private final EmbeddedChannel channel = channelOf(this.connection);

	// Guards against an upload that is read whole and whose connection is then closed
	// without an answer, since its pieces overflow the stack or take a time that grows
	// with their square.
	@Test
	void aBodyInManyChunksReachesTheHandler() {
		send(CHUNKED_HEAD);
		final String thousand = ONE_BYTE_CHUNK.repeat(1_000);
		for (int sent = 0; sent < MANY_PIECES; sent += 1_000) {
			send(thousand);
		}
		send(LAST_CHUNK);
		assertThat(this.handler.requests()).singleElement()
			.extracting((request) -> request.body().sizeBytes())
			.isEqualTo(MANY_PIECES);
		assertThat(this.channel.isOpen()).isTrue();
	}

	// Guards against the same where a slow link delivers a body with a length piece by
	// piece.
	@Test
	void aBodyWithALengthThatComesInManyPiecesReachesTheHandler() {
		send(HEAD + "Content-Length: 400000\r\n\r\n");
		for (int sent = 0; sent < MANY_PIECES; sent++) {
			send("p");
		}
		assertThat(this.handler.requests()).singleElement()
			.extracting((request) -> request.body().sizeBytes())
			.isEqualTo(MANY_PIECES);
	}

	// Guards against pieces that take far more memory than is counted for them.
	@Test
	void whatIsHeldForABodyDependsOnItsSizeAndNotOnItsPieces() {
		send(CHUNKED_HEAD + ONE_BYTE_CHUNK.repeat(1_000));
		assertThat(this.held.total()).isBetween(1_000L, 2_048L);
		send(ONE_BYTE_CHUNK.repeat(1_000) + LAST_CHUNK);
		assertThat(this.held.total()).isEqualTo(2_000);
	}

	// Guards against callers who wait because the loop is busy with the pieces of another
	// caller's body.
	@Test
	void aConnectionWithManyPiecesWaitsForTheLoopsNextTurn() {
		final AtomicInteger resumed = new AtomicInteger();
		this.channel.pipeline().addFirst(new ChannelOutboundHandlerAdapter() {

			@Override
			public void read(ChannelHandlerContext context) throws Exception {
				resumed.incrementAndGet();
				super.read(context);
			}

		});
		this.channel
			.writeOneInbound(buffer(CHUNKED_HEAD + ONE_BYTE_CHUNK.repeat(ServerConnection.MAX_PIECES_IN_TURN - 1)));
		assertThat(resumed).hasValue(0);
		this.channel.writeOneInbound(buffer(ONE_BYTE_CHUNK));
		assertThat(resumed).hasValue(1);
		assertThat(this.channel.config().isAutoRead()).isTrue();
	}

	// Guards against a connection that is not read again after such a wait.
	@Test
	void aBodyInManyPiecesIsAnsweredOverARealConnection() throws IOException {
		try (WebLoop loop = new WebLoop("test")) {
			final WebServer server = new WebServer(loop, "127.0.0.1:0",
					(request, reply) -> reply.whole(WebAnswer.text(200, "done")), () -> LIMITS);
			server.start();
			final int port = Integer.parseInt(server.localAddress().split(":")[1]);
			try (Socket caller = new Socket("127.0.0.1", port)) {
				caller.setSoTimeout((int) TimeUnit.SECONDS.toMillis(20));
				caller.getOutputStream()
					.write((CHUNKED_HEAD + ONE_BYTE_CHUNK.repeat(MANY_PIECES) + LAST_CHUNK)
						.getBytes(StandardCharsets.US_ASCII));
				assertThat(caller.getInputStream().readNBytes(12)).asString(StandardCharsets.US_ASCII)
					.isEqualTo("HTTP/1.1 200");
			}
			server.stop();
		}
	}

	private static EmbeddedChannel channelOf(ServerConnection own) {
		final EmbeddedChannel created = new EmbeddedChannel();
		own.addTo(created.pipeline());
		return created;
	}

	private void send(String bytes) {
		this.channel.writeInbound(buffer(bytes));
	}

	private static ByteBuf buffer(String bytes) {
		return Unpooled.copiedBuffer(bytes, StandardCharsets.US_ASCII);
	}

}
