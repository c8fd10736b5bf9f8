package org.pistachioline.adapters.http;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicLong;

import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.javadsl.Adapter;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.settings.ClientConnectionSettings;

/**
 * Connections towards targets and the platform, each with one request at a time, so that
 * a request can be given up by closing its connection and nothing else.
 */
public final class ConnectionPool {

	private final ActorSystem<?> system;

	private final ClientConnectionSettings settings;

	private final long keepNanos;

	private final int mostIdlePerAddress;

	private final Map<String, Deque<OwnedConnection>> idle = new HashMap<>();

	private final AtomicLong opened = new AtomicLong();

	/**
	 * Creates an empty pool.
	 * @param system the process's actor system
	 * @param connectTimeout how long a connection may take to be made
	 * @param keep how long an idle connection is used again; it must be shorter than the
	 * other side keeps it, as a request that meets its close may or may not have been
	 * read
	 * @param mostIdlePerAddress how many idle connections are kept for one address
	 */
	public ConnectionPool(ActorSystem<?> system, Duration connectTimeout, Duration keep, int mostIdlePerAddress) {
		this.system = system;
		this.settings = ClientConnectionSettings.create(Adapter.toClassic(system))
			.withConnectingTimeout(scala.concurrent.duration.Duration.fromNanos(connectTimeout.toNanos()));
		this.keepNanos = keep.toNanos();
		this.mostIdlePerAddress = mostIdlePerAddress;
	}

	/**
	 * Sends a request.
	 * @param address where to, as host and port
	 * @param request the request
	 * @param freshConnection whether it must not go on a connection that was used before,
	 * since it may not be sent twice
	 * @return the call
	 */
	public PendingCall send(String address, HttpRequest request, boolean freshConnection) {
		final OwnedConnection connection = freshConnection ? open(address) : take(address);
		final CompletionStage<HttpResponse> answer = connection.send(request);
		return new PendingCall() {

			@Override
			public CompletionStage<HttpResponse> answer() {
				return answer;
			}

			@Override
			public void abort() {
				connection.abort();
			}

		};
	}

	/**
	 * Returns how many connections were opened.
	 * @return the number of connections
	 */
	public long opened() {
		return this.opened.get();
	}

	private OwnedConnection take(String address) {
		final long nowNanos = System.nanoTime();
		synchronized (this.idle) {
			final Deque<OwnedConnection> kept = this.idle.get(address);
			while (kept != null && !kept.isEmpty()) {
				final OwnedConnection connection = kept.pollLast();
				if (connection.isClosed()) {
					continue;
				}
				if (nowNanos - connection.idleSinceNanos() < this.keepNanos) {
					return connection;
				}
				connection.abort();
			}
		}
		return open(address);
	}

	private OwnedConnection open(String address) {
		this.opened.incrementAndGet();
		return new OwnedConnection(this.system, address, this.settings, this::keep);
	}

	private void keep(OwnedConnection connection) {
		final OwnedConnection surplus;
		synchronized (this.idle) {
			final Deque<OwnedConnection> kept = this.idle.computeIfAbsent(connection.address(),
					(name) -> new ArrayDeque<>());
			kept.removeIf(OwnedConnection::isClosed);
			if (connection.isClosed()) {
				return;
			}
			kept.addLast(connection);
			surplus = (kept.size() > this.mostIdlePerAddress) ? kept.pollFirst() : null;
		}
		if (surplus != null) {
			surplus.abort();
		}
	}

	/**
	 * Closes idle connections that are too old, and those to addresses that are not used
	 * any more.
	 */
	public void prune() {
		final long nowNanos = System.nanoTime();
		synchronized (this.idle) {
			this.idle.values().forEach((kept) -> kept.removeIf((connection) -> {
				final boolean old = nowNanos - connection.idleSinceNanos() >= this.keepNanos;
				if (old) {
					connection.abort();
				}
				return old || connection.isClosed();
			}));
			this.idle.values().removeIf(Deque::isEmpty);
		}
	}

}
