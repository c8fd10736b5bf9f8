package org.pistachioline.daemon.http;

import org.pistachioline.adapters.web.RequestLimits;
import org.pistachioline.adapters.web.WebHandler;
import org.pistachioline.adapters.web.WebLoop;
import org.pistachioline.adapters.web.WebServer;
import org.pistachioline.daemon.Lifecycle;

/**
 * HTTP server for operators, with a thread of its own: a dump or a scrape of the metrics
 * takes milliseconds and must not delay the events of callers.
 */
public final class AdminServer implements Lifecycle {

	private final WebLoop loop = new WebLoop("operators");

	private final WebServer server;

	/**
	 * Creates a server that listens once it is started.
	 * @param address the address to listen on, as host and port
	 * @param handler handles each request
	 */
	public AdminServer(String address, WebHandler handler) {
		this.server = new WebServer(this.loop, address, handler, () -> RequestLimits.DEFAULT);
	}

	@Override
	public void start() {
		this.server.start();
	}

	@Override
	public void stop() {
		this.server.stop();
		this.loop.close();
	}

	/**
	 * Returns the address that the server is bound to.
	 * @return the address as host and port; empty until the server is started
	 */
	public String localAddress() {
		return this.server.localAddress();
	}

}
