package org.pistachioline.adapters.web;

import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ConnectTimeoutException;
import io.netty.handler.codec.http.HttpClientCodec;

/**
 * Connections towards targets and the platform, each with one request at a time, so that
 * a request can be given up by closing its connection and nothing else.
 */
public final class WebClient {

	private static final long PRUNE_MILLIS = 1_000;

	private final WebLoop loop;

	private final int connectMillis;

	private final long keepNanos;

	private final int mostIdlePerAddress;

	private final Map<String, Deque<ClientConnection>> idle = new HashMap<>();

	/**
	 * Creates a client without connections.
	 * @param loop the thread on which they are served
	 * @param connectMillis how long a connection may take to be made
	 * @param keepMillis how long an idle connection is used again; it must be shorter
	 * than the other side keeps it, as a request that meets its close may or may not have
	 * been read
	 * @param mostIdlePerAddress how many idle connections are kept for one address
	 */
	public WebClient(WebLoop loop, int connectMillis, long keepMillis, int mostIdlePerAddress) {
		this.loop = loop;
		this.connectMillis = connectMillis;
		this.keepNanos = keepMillis * 1_000_000;
		this.mostIdlePerAddress = mostIdlePerAddress;
		loop.every(this::prune, PRUNE_MILLIS);
	}

	/**
	 * Sends a request; called on the loop's thread.
	 * @param address where to, as host and port
	 * @param request the request
	 * @param freshConnection whether it must not go on a connection that was used before,
	 * since it may not be sent twice
	 * @param receiver takes the answer
	 * @return the call
	 */
	public WebCall send(String address, WebRequest request, boolean freshConnection, AnswerReceiver receiver) {
		final ClientConnection kept = freshConnection ? null : take(address);
		final ClientConnection connection = (kept != null) ? kept : new ClientConnection(address, this::keep);
		final ClientCall call = new ClientCall(request, receiver, connection);
		connection.begin(call);
		if (kept == null) {
			connect(address, connection);
		}
		return call;
	}

	/**
	 * Sends a request and waits for the whole answer; called on any thread.
	 * @param address where to, as host and port
	 * @param request the request
	 * @param freshConnection whether it must not go on a connection that was used before
	 * @param timeoutMillis how long the answer may take; its connection is closed then
	 * @return the answer; fails as {@link AnswerReceiver#onFailure} tells, or with a
	 * {@link TimeoutException}
	 */
	public CompletableFuture<WebAnswer> call(String address, WebRequest request, boolean freshConnection,
			long timeoutMillis) {
		final CompletableFuture<WebAnswer> answer = new CompletableFuture<>();
		this.loop.execute(() -> {
			final WebCall call = send(address, request, freshConnection, new WholeAnswer(answer));
			this.loop.after(() -> {
				if (!answer.isDone()) {
					call.abort();
					answer.completeExceptionally(new TimeoutException("No answer within " + timeoutMillis + " ms"));
				}
			}, timeoutMillis);
		});
		return answer;
	}

	/**
	 * Asks whether nothing listens at an address any more, by a connection that is closed
	 * at once; called on the loop's thread. Silence is no answer: what is cut off or
	 * stands still may live.
	 * @param address where, as host and port
	 * @param receiver is told, on the loop's thread, whether a connection was refused
	 */
	public void askWhetherRefused(String address, Consumer<Boolean> receiver) {
		this.loop.client(this.connectMillis)
			.handler(new ChannelInboundHandlerAdapter())
			.connect(socketAddress(address))
			.addListener((ChannelFuture made) -> {
				made.channel().close();
				receiver.accept(
						made.cause() instanceof ConnectException && !(made.cause() instanceof ConnectTimeoutException));
			});
	}

	private static InetSocketAddress socketAddress(String address) {
		final int colon = address.lastIndexOf(':');
		return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
	}

	private void connect(String address, ClientConnection connection) {
		this.loop.client(this.connectMillis).handler(new ChannelInitializer<Channel>() {

			@Override
			protected void initChannel(Channel channel) {
				channel.pipeline().addLast(new HttpClientCodec(), connection);
			}

		}).connect(socketAddress(address)).addListener((made) -> {
			if (!made.isSuccess()) {
				connection.onNotConnected(made.cause());
			}
		});
	}

	private ClientConnection take(String address) {
		final Deque<ClientConnection> kept = this.idle.get(address);
		while (kept != null && !kept.isEmpty()) {
			final ClientConnection connection = kept.pollLast();
			if (!connection.isClosed() && isYoung(connection)) {
				return connection;
			}
			connection.abort();
		}
		return null;
	}

	private boolean isYoung(ClientConnection connection) {
		return System.nanoTime() - connection.idleSinceNanos() < this.keepNanos;
	}

	private void keep(ClientConnection connection) {
		final Deque<ClientConnection> kept = this.idle.computeIfAbsent(connection.address(),
				(name) -> new ArrayDeque<>());
		kept.removeIf(ClientConnection::isClosed);
		kept.addLast(connection);
		if (kept.size() > this.mostIdlePerAddress) {
			kept.pollFirst().abort();
		}
	}

	private void prune() {
		this.idle.values().forEach((kept) -> kept.removeIf((connection) -> {
			final boolean over = connection.isClosed() || !isYoung(connection);
			if (over) {
				connection.abort();
			}
			return over;
		}));
		this.idle.values().removeIf(Deque::isEmpty);
	}

}
