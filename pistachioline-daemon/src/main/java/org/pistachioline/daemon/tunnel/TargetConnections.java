package org.pistachioline.daemon.tunnel;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import org.pistachioline.adapters.web.Connector;
import org.pistachioline.adapters.web.DirectConnector;
import org.pistachioline.adapters.web.OpenedConnection;
import org.pistachioline.adapters.web.WebLoop;
import org.pistachioline.core.peer.PeerStatus;
import org.pistachioline.core.reachability.TargetReachability;
import org.pistachioline.core.replica.ServingInstance;

/**
 * Connects a daemon to its targets: directly, or through another daemon while this one is
 * partitioned from them.
 */
public final class TargetConnections {

	/**
	 * A reachable target accepts within milliseconds, also across availability zones; an
	 * unreachable one never does.
	 */
	private static final int CONNECT_TIMEOUT_MILLIS = 700;

	/** Daemons accept as quickly as targets, and another one can be asked instead. */
	private static final int PEER_CONNECT_TIMEOUT_MILLIS = 300;

	private static final long PROBE_INTERVAL_MILLIS = 250;

	private static final int PROBES_PER_INTERVAL = 4;

	private final Function<WebLoop, Connector> directConnectors;

	private final PartitionMonitor monitor = new PartitionMonitor(System::nanoTime);

	private final TunnelPeers peers = new TunnelPeers(() -> this.livePeers.get(), System::nanoTime);

	private final Set<String> pendingChecks = ConcurrentHashMap.newKeySet();

	private volatile Supplier<List<PeerStatus>> livePeers = List::of;

	private volatile Map<String, String> addressesByInstanceId = Map.of();

	private volatile Set<String> addresses = Set.of();

	/**
	 * Creates the connections of one daemon.
	 * @param directConnectors creates the connector that connects to targets directly,
	 * for a loop
	 */
	public TargetConnections(Function<WebLoop, Connector> directConnectors) {
		this.directConnectors = directConnectors;
	}

	/**
	 * Creates a connector that only connects to targets directly.
	 * @param loop the thread on which the connections are served
	 * @return the connector
	 */
	public static Connector direct(WebLoop loop) {
		return new DirectConnector(loop, CONNECT_TIMEOUT_MILLIS);
	}

	/**
	 * Sets the source of the other daemons. Must be called before the start.
	 * @param source supplies the live daemons other than this one
	 */
	public void setPeers(Supplier<List<PeerStatus>> source) {
		this.livePeers = source;
	}

	/**
	 * Sets the listener that is called when a partition from most targets begins or ends.
	 * @param listener the listener; must not block
	 */
	public void setPartitionListener(Runnable listener) {
		this.monitor.setChangeListener(listener);
	}

	/**
	 * Creates a connector that falls back to other daemons.
	 * @param loop the thread on which the connections are served
	 * @return the connector
	 */
	public Connector connector(WebLoop loop) {
		return new FallbackConnector(loop, this.directConnectors.apply(loop),
				new TunnelClient(loop, new DirectConnector(loop, PEER_CONNECT_TIMEOUT_MILLIS)), this.peers,
				this.monitor);
	}

	/**
	 * Creates the server through which other daemons connect to targets.
	 * @param loop the thread on which the connections are served
	 * @param address the listen address, as host and port
	 * @return the server
	 */
	public TunnelServer server(WebLoop loop, String address) {
		return new TunnelServer(loop, address, this.directConnectors.apply(loop),
				(target) -> this.addresses.contains(target), this.monitor.reachability());
	}

	/**
	 * Probes unreachable targets periodically, to use direct connections again as soon as
	 * possible.
	 * @param loop the thread on which the connections are served
	 */
	public void startProbing(WebLoop loop) {
		final Connector direct = this.directConnectors.apply(loop);
		loop.every(() -> this.monitor.reachability()
			.takeProbes(System.nanoTime(), PROBES_PER_INTERVAL)
			.forEach((address) -> direct.connect(address).thenAccept((opened) -> {
				opened.channel().close();
				this.monitor.onDirectConnection(address);
			})), PROBE_INTERVAL_MILLIS);
	}

	/**
	 * Checks how a target is reached, since requests have stalled there: a silent
	 * partition does not break open connections.
	 * @param connector the connector to check with
	 * @param loop the connector's thread
	 * @param instanceId the target's instance
	 */
	public void check(Connector connector, WebLoop loop, String instanceId) {
		Optional.ofNullable(this.addressesByInstanceId.get(instanceId))
			.filter(this.pendingChecks::add)
			.ifPresent((address) -> loop.execute(() -> connector.connect(address).whenComplete((opened, failure) -> {
				this.pendingChecks.remove(address);
				close(opened);
			})));
	}

	private static void close(OpenedConnection opened) {
		if (opened != null) {
			opened.channel().close();
		}
	}

	/**
	 * Replaces the known targets.
	 * @param instances all instances
	 */
	public void updateInstances(List<ServingInstance> instances) {
		this.addressesByInstanceId = instances.stream()
			.collect(Collectors.toMap(ServingInstance::id, ServingInstance::address, (first, second) -> second));
		this.addresses = new HashSet<>(this.addressesByInstanceId.values());
		this.monitor.retain(this.addresses);
	}

	/**
	 * Returns which targets this daemon reaches itself.
	 * @return the reachability of the targets
	 */
	public TargetReachability reachability() {
		return this.monitor.reachability();
	}

}
