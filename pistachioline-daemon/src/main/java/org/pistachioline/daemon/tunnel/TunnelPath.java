package org.pistachioline.daemon.tunnel;

import java.util.concurrent.CompletableFuture;

import org.pistachioline.adapters.web.OpenedConnection;
import org.pistachioline.core.peer.PeerStatus;

/**
 * Connects to the target through another daemon.
 */
final class TunnelPath implements ConnectionPath {

	private final TunnelClient client;

	private final TunnelPeers peers;

	private final PeerStatus peer;

	private final String address;

	private final PartitionMonitor monitor;

	TunnelPath(TunnelClient client, TunnelPeers peers, PeerStatus peer, String address, PartitionMonitor monitor) {
		this.client = client;
		this.peers = peers;
		this.peer = peer;
		this.address = address;
		this.monitor = monitor;
	}

	@Override
	public CompletableFuture<OpenedConnection> open() {
		final CompletableFuture<OpenedConnection> opening = this.client.open(this.peer.tunnelAddress(), this.address);
		opening.whenComplete((opened, failure) -> {
			if (failure instanceof TunnelException refused && refused.isPeerAtFault()) {
				this.peers.avoid(this.peer.daemonId());
			}
		});
		return opening;
	}

	@Override
	public void onChosen() {
		this.monitor.onTunnel(this.address, this.peer.daemonId());
	}

	@Override
	public void onOverdue() {
		this.peers.avoid(this.peer.daemonId());
	}

}
