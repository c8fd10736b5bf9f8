package org.pistachioline.daemon.relay;

import java.util.function.Supplier;

import org.pistachioline.adapters.web.RequestLimits;
import org.pistachioline.adapters.web.WebLoop;
import org.pistachioline.adapters.web.WebServer;
import org.pistachioline.core.route.CallerBounds;
import org.pistachioline.core.route.RouteTable;
import org.pistachioline.daemon.Lifecycle;

/**
 * Listens for callers whose requests are relayed.
 */
public final class CallerServer implements Lifecycle {

	private final WebServer server;

	/**
	 * Creates a server.
	 * @param loop the thread on which its connections are served
	 * @param address where to listen, as host and port
	 * @param handler answers each request
	 * @param routes gives the configuration in force, whose bounds callers must keep
	 */
	public CallerServer(WebLoop loop, String address, RelayHandler handler, Supplier<RouteTable> routes) {
		this.server = new WebServer(loop, address, handler, () -> limits(routes.get().callerBounds()));
	}

	private static RequestLimits limits(CallerBounds bounds) {
		return new RequestLimits(bounds.maxHeaderBytes(), bounds.headerTimeoutMillis(), bounds.maxBodyBytes(),
				bounds.idleTimeoutMillis(), bounds.idleTimeoutMillis());
	}

	@Override
	public void start() {
		this.server.start();
	}

	@Override
	public void stop() {
		this.server.stop();
	}

	/**
	 * Returns where it listens.
	 * @return the address, as host and port; empty until it listens
	 */
	public String localAddress() {
		return this.server.localAddress();
	}

	/**
	 * Returns whether it listens.
	 * @return whether callers can connect
	 */
	public boolean listening() {
		return this.server.listening();
	}

}
