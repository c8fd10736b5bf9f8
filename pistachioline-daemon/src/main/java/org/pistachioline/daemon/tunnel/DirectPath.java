package org.pistachioline.daemon.tunnel;

import java.util.concurrent.CompletableFuture;

import org.pistachioline.adapters.web.Connector;
import org.pistachioline.adapters.web.OpenedConnection;

/**
 * Connects to the target itself.
 */
final class DirectPath implements ConnectionPath {

	private final Connector connector;

	private final String address;

	private final PartitionMonitor monitor;

	DirectPath(Connector connector, String address, PartitionMonitor monitor) {
		this.connector = connector;
		this.address = address;
		this.monitor = monitor;
	}

	@Override
	public CompletableFuture<OpenedConnection> open() {
		return this.connector.connect(this.address);
	}

	@Override
	public void onChosen() {
		this.monitor.onDirectConnection(this.address);
	}

}
