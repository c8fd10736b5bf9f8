package org.pistachioline.daemon;

import java.util.List;
import java.util.Optional;
import java.util.function.IntSupplier;
import java.util.function.Supplier;

import org.pistachioline.core.event.EventId;
import org.pistachioline.core.peer.PeerStatus;
import org.pistachioline.core.propagation.VersionLag;
import org.pistachioline.core.propagation.VersionTracker;
import org.pistachioline.core.route.RouteTable;
import org.pistachioline.daemon.event.Events;
import org.pistachioline.daemon.peer.ConfigurationTransfer;
import org.pistachioline.daemon.peer.PeerDuty;
import org.pistachioline.daemon.port.RouteSource;
import org.pistachioline.daemon.propagation.ConfigurationMonitor;

/**
 * Connects the source of the configuration with what daemons tell each other of their
 * versions.
 */
final class ConfigurationPropagation implements Supplier<VersionLag> {

	/** Longer than it usually takes to copy the configuration from another daemon. */
	private static final long MAX_BEHIND_MILLIS = 1_500;

	private final RouteSource routes;

	private final PeerDuty peers;

	private final ConfigurationMonitor monitor;

	private final ConfigurationTransfer transfer;

	/**
	 * Creates the propagation; other parts are bound before the start.
	 * @param daemonId this daemon's id
	 * @param routes the source of the configuration
	 * @param peers exchanges frames with other daemons
	 * @param discoveryEndsAtNanos until when other daemons may not have had time to tell
	 * this one of their version
	 */
	ConfigurationPropagation(String daemonId, RouteSource routes, PeerDuty peers, long discoveryEndsAtNanos) {
		this.routes = routes;
		this.peers = peers;
		this.monitor = new ConfigurationMonitor(new VersionTracker(discoveryEndsAtNanos), routes::pendingReadMillis);
		this.transfer = new ConfigurationTransfer(peers::send, daemonId, routes, this.monitor);
	}

	void bind(IntSupplier liveDaemonCount) {
		this.routes.setFleetView(liveDaemonCount, () -> get().newest());
		this.peers.setPeersListener(this::onPeers);
		this.peers.setCheckpointReceiver(this.transfer::onFrame);
	}

	private void onPeers(List<PeerStatus> statuses) {
		this.monitor.onPeers(statuses);
		this.transfer.onPeers(statuses);
	}

	/**
	 * Handles that a version is in force on this daemon. Other daemons are told at once
	 * if they may not have read it themselves.
	 * @param table the configuration
	 */
	void onInForce(RouteTable table) {
		this.monitor.onInForce(table.version());
		Events.log(EventId.CONFIG_IN_FORCE, "version", table.version());
		if (this.routes.isInterrupted()) {
			this.peers.sendHeartbeat();
		}
	}

	/**
	 * Returns how far this daemon is behind.
	 * @return the lag now
	 */
	@Override
	public VersionLag get() {
		return this.monitor.get();
	}

	/**
	 * Returns why callers should use other daemons, which have a newer configuration.
	 * @return the reason; empty if this daemon is not behind, or no other one is ready
	 */
	Optional<String> notReadyReason() {
		final VersionLag lag = get();
		final boolean replaceable = lag.behindMillis() >= MAX_BEHIND_MILLIS && this.peers.livePeers()
			.stream()
			.anyMatch((peer) -> peer.configVersion() > lag.inForce() && peer.ready() && !peer.leaving());
		return replaceable ? Optional.of("a newer configuration is in force on other daemons") : Optional.empty();
	}

}
