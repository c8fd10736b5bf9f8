package org.pistachioline.daemon.tunnel;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeoutException;
import java.util.stream.IntStream;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.pistachioline.adapters.http.NotConnectedException;
import org.pistachioline.adapters.web.AnswerHead;
import org.pistachioline.adapters.web.AnswerLimits;
import org.pistachioline.adapters.web.AnswerReceiver;
import org.pistachioline.adapters.web.Connector;
import org.pistachioline.adapters.web.DirectConnector;
import org.pistachioline.adapters.web.HeaderFields;
import org.pistachioline.adapters.web.OpenedConnection;
import org.pistachioline.adapters.web.WebAnswer;
import org.pistachioline.adapters.web.WebClient;
import org.pistachioline.adapters.web.WebLoop;
import org.pistachioline.adapters.web.WebRequest;
import org.pistachioline.core.reachability.TargetReachability;
import org.pistachioline.protocol.peer.TunnelResult;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Tests tunnels over real connections to a target that each test plays by hand.
 */
class TunnelTests {

	private static final String UNFRAMED_ANSWER = "HTTP/1.1 200 OK\r\n\r\nwhole";

	/** Only a test that fails waits for so long. */
	private static final long MAX_MILLIS = 20_000;

	private static final int MAX_ANSWER_BYTES = 64 * 1024;

	private static final int SMALL_BUFFER_BYTES = 4_096;

	/** More than the target's side of the tunnel takes, and less than both sides do. */
	private static final int UNREAD_BYTES = 200 * 1024;

	private final WebLoop loop = new WebLoop("test");

	private final Set<String> targets = ConcurrentHashMap.newKeySet();

	private final TargetReachability reachability = new TargetReachability();

	private final Connector direct = new DirectConnector(this.loop, 1_000);

	private final TunnelServer server = new TunnelServer(this.loop, "127.0.0.1:0", this.direct, this.targets::contains,
			this.reachability);

	private final TunnelClient client = new TunnelClient(this.loop, this.direct);

	private ServerSocket target;

	private String targetAddress;

	@BeforeEach
	void listen() throws IOException {
		this.server.start();
		this.target = new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
		this.targetAddress = "127.0.0.1:" + this.target.getLocalPort();
		this.targets.add(this.targetAddress);
	}

	@AfterEach
	void close() throws IOException {
		this.target.close();
		this.server.stop();
		this.loop.close();
	}

	private CompletableFuture<OpenedConnection> open() {
		final CompletableFuture<OpenedConnection> opened = new CompletableFuture<>();
		this.loop.execute(
				() -> this.client.open(this.server.localAddress(), this.targetAddress).whenComplete((tunnel, ex) -> {
					if (ex != null) {
						opened.completeExceptionally(ex);
					}
					else {
						opened.complete(tunnel);
					}
				}));
		return opened;
	}

	// Tells the head as soon as it is received.
	private CompletableFuture<WebAnswer> call(CompletableFuture<AnswerHead> head) {
		final CompletableFuture<WebAnswer> answer = new CompletableFuture<>();
		final WebClient throughTunnel = new WebClient(this.loop,
				(address) -> this.client.open(this.server.localAddress(), address), 5_000, 2);
		this.loop.execute(() -> throughTunnel.send(this.targetAddress,
				WebRequest.get("/report", HeaderFields.of("Host", "shop")), false, new HeadObserver(head, answer)));
		return answer;
	}

	private CompletableFuture<WebAnswer> call() {
		final WebClient throughTunnel = new WebClient(this.loop,
				(address) -> this.client.open(this.server.localAddress(), address), 5_000, 2);
		return throughTunnel.call(this.targetAddress, WebRequest.get("/report", HeaderFields.of("Host", "shop")), false,
				new AnswerLimits(MAX_MILLIS, MAX_ANSWER_BYTES));
	}

	private static void readRequest(Socket connection) throws IOException {
		final InputStream in = connection.getInputStream();
		final StringBuilder request = new StringBuilder();
		while (!request.toString().endsWith("\r\n\r\n")) {
			request.append((char) in.read());
		}
		assertThat(request.toString()).startsWith("GET /report HTTP/1.1\r\n");
	}

	private static void write(Socket connection, String bytes) throws IOException {
		connection.getOutputStream().write(bytes.getBytes(StandardCharsets.US_ASCII));
		connection.getOutputStream().flush();
	}

	@Test
	void aTunnelCarriesARequestAndItsAnswer() throws IOException {
		final CompletableFuture<WebAnswer> answer = call();
		try (Socket connection = this.target.accept()) {
			readRequest(connection);
			write(connection, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
			assertThat(answer.join().body().text()).isEqualTo("ok");
		}
		assertThat(this.server.establishedTunnels()).isEqualTo(1);
	}

	@Test
	void anAnswerWithoutALengthEndsWithItsConnection() throws IOException {
		final CompletableFuture<WebAnswer> answer = call();
		try (Socket connection = this.target.accept()) {
			readRequest(connection);
			write(connection, UNFRAMED_ANSWER);
		}
		assertThat(answer.join().body().text()).isEqualTo("whole");
	}

	/**
	 * Guards against a truncated answer that looks complete because a tunnel turned the
	 * target's reset into an orderly close.
	 */
	@Test
	void anAnswerThatIsResetFailsAtTheOtherEnd() throws IOException {
		final CompletableFuture<WebAnswer> answer = call();
		try (Socket connection = this.target.accept()) {
			readRequest(connection);
			write(connection, UNFRAMED_ANSWER);
			connection.setSoLinger(true, 0);
		}
		assertThatExceptionOfType(CompletionException.class).isThrownBy(answer::join);
	}

	// Guards against a success made of a part of an answer that is closed in its head, or
	// before the end that its head states.
	@ParameterizedTest
	@ValueSource(strings = { "", "HTTP/1.1 2", "HTTP/1.1 200 OK", "HTTP/1.1 200 OK\r", "HTTP/1.1 200 OK\r\n",
			"HTTP/1.1 200 OK\r\nServ", "HTTP/1.1 200 OK\r\nServer: a", "HTTP/1.1 200 OK\r\nServer: a\r\n",
			"HTTP/1.1 200 OK\r\nContent-Le", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r",
			"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no", "HTTP/1.1 103 Early Hints\r\nLink",
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n" })
	void anAnswerThatIsClosedBeforeItsEndFailsAtTheOtherEnd(String sent) throws IOException {
		for (final boolean reset : new boolean[] { false, true }) {
			final CompletableFuture<WebAnswer> answer = call();
			try (Socket connection = this.target.accept()) {
				readRequest(connection);
				write(connection, sent);
				connection.setSoLinger(reset, 0);
			}
			assertFailsWithTheConnection(answer);
		}
	}

	// Guards against a truncated answer that looks complete because the daemon between
	// ended: the end of its process closes the tunnel, but not the target's answer.
	@Test
	void anAnswerThatIsCutByTheDaemonBetweenFails() throws IOException {
		final CompletableFuture<AnswerHead> head = new CompletableFuture<>();
		final CompletableFuture<WebAnswer> answer = call(head);
		try (Socket connection = this.target.accept()) {
			readRequest(connection);
			write(connection, UNFRAMED_ANSWER);
			head.join();
			this.server.stop();
			assertFailsWithTheConnection(answer);
		}
	}

	// Guards against a truncated answer that looks complete because the target's reset
	// was
	// noticed by a write of the request's rest, and not by a read.
	@Test
	void aResetUnderARequestThatIsStillSentIsPassedOn() throws Exception {
		this.target.close();
		this.target = new ServerSocket();
		this.target.setReceiveBufferSize(SMALL_BUFFER_BYTES);
		this.target.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
		this.targetAddress = "127.0.0.1:" + this.target.getLocalPort();
		this.targets.add(this.targetAddress);
		final Channel tunnel = open().join().channel();
		final EndObserver observer = new EndObserver();
		tunnel.pipeline().addLast(observer);
		try (Socket connection = this.target.accept()) {
			tunnel.writeAndFlush(Unpooled.wrappedBuffer(new byte[UNREAD_BYTES])).sync();
			write(connection, UNFRAMED_ANSWER);
			observer.received().join();
			connection.setSoLinger(true, 0);
		}
		assertThat(observer.end().join()).isEqualTo("reset");
	}

	private static void assertFailsWithTheConnection(CompletableFuture<WebAnswer> answer) {
		assertThatExceptionOfType(CompletionException.class).isThrownBy(answer::join)
			.satisfies((ex) -> assertThat(ex.getCause()).isNotInstanceOf(NotConnectedException.class)
				.isNotInstanceOf(TimeoutException.class));
	}

	/**
	 * Guards against a target that works on for a caller who has left.
	 */
	@Test
	void aRequestThatIsGivenUpClosesTheConnectionToTheTarget() throws IOException {
		final OpenedConnection tunnel = open().join();
		try (Socket connection = this.target.accept()) {
			tunnel.channel().close();
			assertThat(connection.getInputStream().read()).isEqualTo(-1);
		}
	}

	@Test
	void aTargetThatRefusesIsToldApart() throws IOException {
		this.target.close();
		assertThat(resultOf(open())).isEqualTo(TunnelResult.REFUSED);
	}

	/**
	 * Guards against a daemon that opens connections to anything that is asked for.
	 */
	@Test
	void onlyListedTargetsAreConnectedTo() {
		this.targets.clear();
		assertThat(resultOf(open())).isEqualTo(TunnelResult.UNKNOWN_TARGET);
	}

	/**
	 * Guards against requests that pass from daemon to daemon because none of them
	 * reaches the target.
	 */
	@Test
	void aDaemonThatIsPartitionedItselfSaysSoAtOnce() {
		IntStream.range(0, 3).forEach((index) -> this.reachability.onIndirectConnection(index, "t" + index));
		assertThat(resultOf(open())).isEqualTo(TunnelResult.UNREACHABLE);
	}

	// Guards against requests of other daemons that are cut off because this one ends,
	// and
	// against the end of those that are under way.
	@Test
	void aDaemonThatIsLeavingOpensNoFurtherTunnels() throws IOException {
		final CompletableFuture<WebAnswer> answer = call();
		try (Socket connection = this.target.accept()) {
			readRequest(connection);
			this.server.stopAccepting();
			assertThat(resultOf(open())).isEqualTo(TunnelResult.OVERLOADED);
			write(connection, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
			assertThat(answer.join().body().text()).isEqualTo("ok");
		}
	}

	@Test
	void aDaemonThatIsNotThereGivesNoResult() {
		final String address = this.server.localAddress();
		this.server.stop();
		final CompletableFuture<OpenedConnection> opened = new CompletableFuture<>();
		this.loop.execute(() -> this.client.open(address, this.targetAddress)
			.whenComplete((tunnel, failure) -> opened.completeExceptionally(failure)));
		assertThat(resultOf(opened)).isEqualTo(TunnelResult.UNKNOWN_RESULT);
	}

	private static TunnelResult resultOf(CompletableFuture<OpenedConnection> tunnel) {
		return tunnel.handle((opened, failure) -> ((TunnelException) failure).result()).join();
	}

	private record HeadObserver(CompletableFuture<AnswerHead> head,
			CompletableFuture<WebAnswer> answer) implements AnswerReceiver {

		@Override
		public void onHead(AnswerHead received) {
			this.head.complete(received);
		}

		@Override
		public void onBytes(byte[] bytes) {
			// Only the end matters.
		}

		@Override
		public void onBatchEnd() {
			// Only the end matters.
		}

		@Override
		public void onEnd() {
			this.answer.complete(WebAnswer.empty(this.head.join().status()));
		}

		@Override
		public void onFailure(Throwable failure) {
			this.answer.completeExceptionally(failure);
		}

	}

	private static final class EndObserver extends ChannelInboundHandlerAdapter {

		private final CompletableFuture<Void> received = new CompletableFuture<>();

		private final CompletableFuture<String> end = new CompletableFuture<>();

		CompletableFuture<Void> received() {
			return this.received;
		}

		CompletableFuture<String> end() {
			return this.end;
		}

		@Override
		public void channelRead(ChannelHandlerContext ctx, Object message) {
			ReferenceCountUtil.release(message);
			this.received.complete(null);
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
			this.end.complete("reset");
		}

		@Override
		public void channelInactive(ChannelHandlerContext ctx) {
			this.end.complete("closed in order");
		}

	}

}
