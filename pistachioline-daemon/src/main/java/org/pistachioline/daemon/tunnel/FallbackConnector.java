package org.pistachioline.daemon.tunnel;

import java.util.Iterator;
import java.util.concurrent.CompletableFuture;

import org.pistachioline.adapters.web.Connector;
import org.pistachioline.adapters.web.OpenedConnection;
import org.pistachioline.adapters.web.WebLoop;

/**
 * Connects to targets directly, or through another daemon if that fails.
 * <p>
 * While a target is known as unreachable other daemons are asked first, so that its
 * requests are not delayed.
 */
final class FallbackConnector implements Connector {

	/** One daemon may be unavailable, and another one partitioned as well. */
	private static final int MAX_TUNNELS = 3;

	private final WebLoop loop;

	private final Connector direct;

	private final TunnelClient tunnels;

	private final TunnelPeers peers;

	private final PartitionMonitor monitor;

	FallbackConnector(WebLoop loop, Connector direct, TunnelClient tunnels, TunnelPeers peers,
			PartitionMonitor monitor) {
		this.loop = loop;
		this.direct = direct;
		this.tunnels = tunnels;
		this.peers = peers;
		this.monitor = monitor;
	}

	@Override
	public CompletableFuture<OpenedConnection> connect(String address) {
		return new ConnectionRace(this.loop, paths(address)).start();
	}

	@Override
	public boolean mayReuse(String address) {
		return !this.monitor.reachability().isUnreachable(address);
	}

	private PathSequence paths(String address) {
		return new PathSequence(new DirectPath(this.direct, address, this.monitor), mayReuse(address),
				() -> tunnelPaths(address));
	}

	private Iterator<ConnectionPath> tunnelPaths(String address) {
		return this.peers.inOrder()
			.stream()
			.limit(MAX_TUNNELS)
			.<ConnectionPath>map((peer) -> new TunnelPath(this.tunnels, this.peers, peer, address, this.monitor))
			.iterator();
	}

}
