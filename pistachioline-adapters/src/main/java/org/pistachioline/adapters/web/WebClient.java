package org.pistachioline.adapters.web;

import java.net.ConnectException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Future;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;

import io.netty.channel.ConnectTimeoutException;

/**
 * Connections towards targets and the platform, each with one request at a time, so that
 * a request can be given up by closing its connection and nothing else.
 */
public final class WebClient {

	private static final long PRUNE_MILLIS = 1_000;

	private static final Deque<ClientConnection> NO_CONNECTIONS = new ArrayDeque<>();

	private final WebLoop loop;

	private final Connector connector;

	private final long keepNanos;

	private final int mostIdlePerAddress;

	private final ClientListener listener;

	private final Map<String, Deque<ClientConnection>> idle = new HashMap<>();

	private final ConnectionOwner owner = new PoolOwner();

	/**
	 * Creates a client that connects to the addresses themselves.
	 * @param loop the thread on which its connections are served
	 * @param connectMillis how long a connection may take to be made
	 * @param keepMillis how long an idle connection is used again
	 * @param mostIdlePerAddress how many idle connections are kept for one address
	 */
	public WebClient(WebLoop loop, int connectMillis, long keepMillis, int mostIdlePerAddress) {
		this(loop, new DirectConnector(loop, connectMillis), keepMillis, mostIdlePerAddress);
	}

	/**
	 * Creates a client that notifies nobody.
	 * @param loop the thread on which its connections are served
	 * @param connector opens the connections, on the same thread
	 * @param keepMillis how long an idle connection is used again
	 * @param mostIdlePerAddress how many idle connections are kept for one address
	 */
	public WebClient(WebLoop loop, Connector connector, long keepMillis, int mostIdlePerAddress) {
		this(loop, connector, keepMillis, mostIdlePerAddress, ClientListener.NONE);
	}

	/**
	 * Creates a client without connections.
	 * @param loop the thread on which they are served
	 * @param connector opens the connections, on the same thread
	 * @param keepMillis how long an idle connection is used again; it must be shorter
	 * than the other side keeps it, as a request that meets its close may or may not have
	 * been read
	 * @param mostIdlePerAddress how many idle connections are kept for one address
	 * @param listener is notified of what happens on the connections besides answers
	 */
	public WebClient(WebLoop loop, Connector connector, long keepMillis, int mostIdlePerAddress,
			ClientListener listener) {
		this.loop = loop;
		this.connector = connector;
		this.keepNanos = keepMillis * 1_000_000;
		this.mostIdlePerAddress = mostIdlePerAddress;
		this.listener = listener;
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
		final ClientConnection kept = freshConnection ? null : take(address, request);
		final ClientConnection connection = (kept != null) ? kept : new ClientConnection(address, this.owner);
		final ClientCall call = new ClientCall(request, receiver, connection);
		connection.begin(call);
		if (kept == null) {
			connect(connection);
		}
		return call;
	}

	/**
	 * Sends a request and waits for the whole answer; called on any thread.
	 * @param address where to, as host and port
	 * @param request the request
	 * @param freshConnection whether it must not go on a connection that was used before
	 * @param limits what the answer may take; beyond them its connection is closed
	 * @return the answer; fails as {@link AnswerReceiver#onFailure} says, with a
	 * {@link TimeoutException}, or with an {@link ExcessiveBytesException}
	 */
	public CompletableFuture<WebAnswer> call(String address, WebRequest request, boolean freshConnection,
			AnswerLimits limits) {
		final CompletableFuture<WebAnswer> answer = new CompletableFuture<>();
		this.loop.execute(() -> {
			final WebCall call = send(address, request, freshConnection, new WholeAnswer(answer, limits.bodyBytes()));
			// An answer that is too large ends its call, or it would go on arriving.
			answer.whenComplete((whole, failure) -> {
				if (failure instanceof ExcessiveBytesException) {
					call.abort();
				}
			});
			final Future<?> timeout = this.loop.after(() -> {
				if (!answer.isDone()) {
					call.abort();
					answer.completeExceptionally(
							new TimeoutException("No answer within " + limits.timeoutMillis() + " ms"));
				}
			}, limits.timeoutMillis());
			// The task refers to the answer, whose memory it would hold until then.
			answer.whenComplete((whole, failure) -> timeout.cancel(false));
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
		this.connector.connect(address).whenComplete((opened, failure) -> {
			if (opened != null) {
				opened.channel().close();
			}
			receiver.accept(failure instanceof ConnectException && !(failure instanceof ConnectTimeoutException));
		});
	}

	/**
	 * Closes the idle connections to an address that were last used before a time, since
	 * they may have stopped responding like one on which a request was not answered;
	 * called on any thread.
	 * @param address host and port
	 * @param beforeNanos the monotonic time
	 */
	public void closeIdle(String address, long beforeNanos) {
		this.loop.execute(() -> {
			final Deque<ClientConnection> kept = this.idle.getOrDefault(address, new ArrayDeque<>());
			final List<ClientConnection> suspects = kept.stream()
				.filter((connection) -> connection.idleSinceNanos() - beforeNanos < 0)
				.toList();
			kept.removeAll(suspects);
			suspects.forEach(ClientConnection::abort);
		});
	}

	private void connect(ClientConnection connection) {
		final CompletableFuture<OpenedConnection> opening = this.connector.connect(connection.address());
		connection.onConnecting(opening);
		opening.whenComplete((opened, failure) -> {
			if (opened != null) {
				connection.onConnected(opened);
			}
			else if (!opening.isCancelled()) {
				connection.onNotConnected(failure);
			}
		});
	}

	private ClientConnection take(String address, WebRequest request) {
		final Iterator<ClientConnection> newestFirst = this.idle.getOrDefault(address, NO_CONNECTIONS)
			.descendingIterator();
		ClientConnection repeated = null;
		while (newestFirst.hasNext()) {
			final ClientConnection connection = newestFirst.next();
			final boolean usable = !connection.isClosed() && isYoung(connection) && this.connector.mayReuse(address);
			if (usable && hasCarriedIdOf(request, connection)) {
				repeated = (repeated != null) ? repeated : connection;
				continue;
			}
			newestFirst.remove();
			if (usable) {
				reportRepeatedId(request, repeated);
				return connection;
			}
			connection.abort();
		}
		reportRepeatedId(request, repeated);
		return null;
	}

	// The server may send a second answer to the earlier request. Its id would not
	// distinguish it from the answer to this one.
	private static boolean hasCarriedIdOf(WebRequest request, ClientConnection connection) {
		return request.id().filter(connection::hasCarried).isPresent();
	}

	private void reportRepeatedId(WebRequest request, ClientConnection connection) {
		if (connection != null) {
			this.listener.onRepeatedId(connection.address(), request.id().orElse(""), connection.use());
		}
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

	private final class PoolOwner implements ConnectionOwner {

		@Override
		public void onIdle(ClientConnection connection) {
			keep(connection);
		}

		@Override
		public void onUnexpected(UnexpectedAnswer answer) {
			WebClient.this.listener.onUnexpected(answer);
		}

		@Override
		public void onJoined(UnexpectedAnswer answer) {
			WebClient.this.listener.onJoined(answer);
		}

		@Override
		public void onMalformed(MalformedAnswer answer) {
			WebClient.this.listener.onMalformed(answer);
		}

	}

}
