package org.pistachioline.adapters.web;

import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.nio.AbstractNioChannel;

/**
 * Listens on one address and hands each request to a handler.
 */
public final class WebServer {

	/** How often connections that are idle or too slow are looked for. */
	private static final long SWEEP_MILLIS = 500;

	/** A loop that is stuck must not keep the process from stopping. */
	private static final long STOP_MILLIS = 500;

	/**
	 * Time for the first request on a connection that was made just before the finish.
	 */
	private static final long NEW_CONNECTION_MILLIS = 100;

	private final WebLoop loop;

	private final String address;

	private final WebHandler handler;

	private final Supplier<RequestLimits> limits;

	private final HeldBytes held;

	private final RequestQueue requests = new RequestQueue(System::nanoTime);

	private final Set<ServerConnection> connections = new HashSet<>();

	private final CompletableFuture<Void> finished = new CompletableFuture<>();

	private boolean finishing;

	private volatile boolean leaving;

	private volatile boolean stopped;

	private volatile Channel listener;

	/**
	 * Creates a server.
	 * @param loop the thread on which its connections are served
	 * @param address where to listen, as host and port
	 * @param handler answers each request
	 * @param limits gives what callers may send now
	 */
	public WebServer(WebLoop loop, String address, WebHandler handler, Supplier<RequestLimits> limits) {
		this(loop, address, handler, limits, HeldBytes.unbounded());
	}

	/**
	 * Creates a server that bounds its memory.
	 * @param loop the thread on which its connections are served
	 * @param address where to listen, as host and port
	 * @param handler answers each request
	 * @param limits gives what callers may send now
	 * @param held counts what is held for all callers; while it is full, requests are
	 * refused with {@link RequestFault#NO_ROOM}
	 */
	public WebServer(WebLoop loop, String address, WebHandler handler, Supplier<RequestLimits> limits, HeldBytes held) {
		this.loop = loop;
		this.address = address;
		this.handler = handler;
		this.limits = limits;
		this.held = held;
	}

	/**
	 * Listens.
	 */
	public void start() {
		final int colon = this.address.lastIndexOf(':');
		this.listener = this.loop.server().childHandler(new ChannelInitializer<Channel>() {

			@Override
			protected void initChannel(Channel channel) {
				accept(channel);
			}

		})
			.bind(new InetSocketAddress(this.address.substring(0, colon),
					Integer.parseInt(this.address.substring(colon + 1))))
			.syncUninterruptibly()
			.channel();
		this.loop.every(this::sweep, SWEEP_MILLIS);
	}

	private void accept(Channel channel) {
		final ServerConnection connection = new ServerConnection(this.handler, this.limits, System::nanoTime, this.held,
				this.requests, () -> this.leaving);
		connection.addTo(channel.pipeline());
		this.connections.add(connection);
		channel.closeFuture().addListener((closed) -> {
			this.connections.remove(connection);
			completeIfFinished();
		});
		if (this.finishing) {
			this.loop.execute(connection::finish);
		}
	}

	private void sweep() {
		final long nowNanos = System.nanoTime();
		Set.copyOf(this.connections).forEach((connection) -> connection.sweep(nowNanos));
	}

	/**
	 * Ends each connection with its next answer from now on, so that callers go to
	 * another server between two requests rather than in the middle of one.
	 */
	public void leave() {
		this.leaving = true;
	}

	/**
	 * Stops listening and ends each connection once all requests that were read on it are
	 * answered.
	 * @return completes on the loop's thread when the last connection is closed, which
	 * may take as long as a caller takes to send the rest of a request
	 */
	public CompletableFuture<Void> finish() {
		leave();
		this.loop.execute(() -> {
			stopListening();
			this.loop.after(this::finishConnections, NEW_CONNECTION_MILLIS);
		});
		return this.finished;
	}

	// The system has made connections that were not accepted yet. Closed now, they would
	// be reset, with the requests that their callers have sent.
	private void stopListening() {
		if (this.listener == null) {
			return;
		}
		if (this.listener.isOpen() && this.listener.unsafe() instanceof AbstractNioChannel.NioUnsafe socket) {
			socket.read();
		}
		this.listener.close();
	}

	private void finishConnections() {
		this.finishing = true;
		Set.copyOf(this.connections).forEach(ServerConnection::finish);
		completeIfFinished();
	}

	private void completeIfFinished() {
		if (this.finishing && this.connections.isEmpty()) {
			this.finished.complete(null);
		}
	}

	/**
	 * Stops listening and closes all connections. A server that has stopped stays as it
	 * is.
	 */
	public void stop() {
		if (this.listener == null || this.stopped) {
			return;
		}
		this.stopped = true;
		this.listener.close().syncUninterruptibly();
		// Waited for, as a loop that is closed next closes the connections by itself,
		// without a report of the requests on them.
		CompletableFuture.runAsync(() -> Set.copyOf(this.connections).forEach(WebServer::stop), this.loop)
			.completeOnTimeout(null, STOP_MILLIS, TimeUnit.MILLISECONDS)
			.join();
	}

	// The other connections are stopped also if a report fails.
	private static void stop(ServerConnection connection) {
		try {
			connection.stop();
		}
		catch (RuntimeException ex) {
			ConnectionFaults.log(ex);
			connection.close();
		}
	}

	/**
	 * Returns where it listens.
	 * @return the address, as host and port; empty until it listens, since a port that
	 * the system chooses is not known before
	 */
	public String localAddress() {
		final Channel bound = this.listener;
		if (bound == null) {
			return "";
		}
		final InetSocketAddress local = (InetSocketAddress) bound.localAddress();
		return local.getAddress().getHostAddress() + ":" + local.getPort();
	}

	/**
	 * Returns whether it listens.
	 * @return whether callers can connect
	 */
	public boolean listening() {
		final Channel bound = this.listener;
		return bound != null && bound.isOpen();
	}

}
