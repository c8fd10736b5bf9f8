package org.pistachioline.daemon.relay;

import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

import org.pistachioline.adapters.web.HeldBytes;
import org.pistachioline.adapters.web.RequestLimits;
import org.pistachioline.adapters.web.WebLoop;
import org.pistachioline.adapters.web.WebServer;
import org.pistachioline.core.route.CallerBounds;
import org.pistachioline.core.route.RouteTable;
import org.pistachioline.daemon.Lifecycle;

/**
 * Accepts the connections of callers whose requests are relayed.
 */
public final class CallerServer implements Lifecycle {

	/** The rest is for targets' responses, configuration and the heap's own needs. */
	private static final int HEAP_PART = 3;

	private final HeldBytes held = new HeldBytes(Runtime.getRuntime().maxMemory() / HEAP_PART);

	private final WebServer server;

	/**
	 * Creates a server that does not listen yet.
	 * @param loop the event loop that serves its connections
	 * @param address the listen address, as host and port
	 * @param handler handles each request
	 * @param routes supplies the active configuration, which limits the requests of
	 * callers
	 */
	public CallerServer(WebLoop loop, String address, RelayHandler handler, Supplier<RouteTable> routes) {
		this.server = new WebServer(loop, address, handler, () -> limits(routes.get().callerBounds()), this.held);
	}

	private static RequestLimits limits(CallerBounds bounds) {
		return new RequestLimits(bounds.maxHeaderBytes(), bounds.headerTimeoutMillis(), bounds.maxBodyBytes(),
				bounds.idleTimeoutMillis(), bounds.idleTimeoutMillis());
	}

	@Override
	public void start() {
		this.server.start();
	}

	/**
	 * Ends each connection with its next response from now on.
	 */
	void leave() {
		this.server.leave();
	}

	/**
	 * Stops listening and ends each connection once its requests are answered.
	 * @return completes when the last connection is closed
	 */
	CompletableFuture<Void> finish() {
		return this.server.finish();
	}

	@Override
	public void stop() {
		this.server.stop();
	}

	/**
	 * Returns what is held in memory for callers.
	 * @return the number of bytes
	 */
	public long heldBytes() {
		return this.held.total();
	}

	/**
	 * Returns the listen address.
	 * @return the address, as host and port; empty until the server listens
	 */
	public String localAddress() {
		return this.server.localAddress();
	}

	/**
	 * Returns whether the server accepts connections.
	 * @return whether callers can connect
	 */
	public boolean listening() {
		return this.server.listening();
	}

}
