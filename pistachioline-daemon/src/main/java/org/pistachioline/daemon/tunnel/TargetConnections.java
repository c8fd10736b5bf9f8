package org.pistachioline.daemon.tunnel;

import org.pistachioline.adapters.web.Connector;
import org.pistachioline.adapters.web.DirectConnector;
import org.pistachioline.adapters.web.WebLoop;

/**
 * Creates the connectors through which a daemon reaches targets.
 */
public final class TargetConnections {

	/**
	 * A reachable target accepts within milliseconds, also across availability zones; an
	 * unreachable one never does.
	 */
	private static final int CONNECT_TIMEOUT_MILLIS = 700;

	private TargetConnections() {
	}

	/**
	 * Creates a connector that connects to targets directly.
	 * @param loop the thread on which the connections are served
	 * @return the connector
	 */
	public static Connector direct(WebLoop loop) {
		return new DirectConnector(loop, CONNECT_TIMEOUT_MILLIS);
	}

}
