package org.pistachioline.daemon.http;

import org.pistachioline.adapters.web.RequestLimits;
import org.pistachioline.adapters.web.WebHandler;
import org.pistachioline.adapters.web.WebLoop;
import org.pistachioline.adapters.web.WebServer;
import org.pistachioline.daemon.Lifecycle;

/**
 * Listens for operators, on a thread of its own: a dump or a scrape takes milliseconds in
 * which no caller's event may wait.
 */
public final class AdminServer implements Lifecycle {

	private final WebLoop loop = new WebLoop("operators");

	private final WebServer server;

	/**
	 * Creates a server.
	 * @param address where to listen, as host and port
	 * @param handler answers each request
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
	 * Returns where it listens.
	 * @return the address, as host and port; empty until it listens
	 */
	public String localAddress() {
		return this.server.localAddress();
	}

}
