package org.pistachioline.daemon;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.apache.pekko.actor.typed.ActorSystem;

import org.pistachioline.adapters.web.Connector;
import org.pistachioline.adapters.web.WebLoop;
import org.pistachioline.core.admission.FleetAdmission;
import org.pistachioline.core.demand.ModelDemandShares;
import org.pistachioline.core.endpoints.WarmUpPolicy;
import org.pistachioline.core.event.EventId;
import org.pistachioline.core.listing.ListReadPolicy;
import org.pistachioline.core.manifest.Manifest;
import org.pistachioline.core.peer.PeerStatus;
import org.pistachioline.core.quarantine.GossipQuarantine;
import org.pistachioline.core.replica.PlannerCandidates;
import org.pistachioline.core.replica.ServingInstance;
import org.pistachioline.core.route.RouteTable;
import org.pistachioline.core.traffic.RoutingPolicies;
import org.pistachioline.core.traffic.TargetView;
import org.pistachioline.core.traffic.TrafficCore;
import org.pistachioline.core.traffic.TrafficPolicies;
import org.pistachioline.daemon.evacuation.EvacuationMonitor;
import org.pistachioline.daemon.event.Events;
import org.pistachioline.daemon.http.AdminHandler;
import org.pistachioline.daemon.http.AdminServer;
import org.pistachioline.daemon.http.DaemonView;
import org.pistachioline.daemon.listing.ListingDuty;
import org.pistachioline.daemon.metrics.Metrics;
import org.pistachioline.daemon.peer.PeerDuty;
import org.pistachioline.daemon.peer.PeerTransport;
import org.pistachioline.daemon.relay.Relay;
import org.pistachioline.daemon.replica.ReplicaDuty;
import org.pistachioline.daemon.traffic.FleetDemandExchange;
import org.pistachioline.daemon.traffic.LimitShareUpdater;
import org.pistachioline.daemon.traffic.NoClaims;
import org.pistachioline.daemon.traffic.TraceRecorder;
import org.pistachioline.daemon.traffic.TrafficDuty;
import org.pistachioline.daemon.tunnel.TargetConnections;
import org.pistachioline.daemon.tunnel.TunnelServer;

/**
 * Daemon on a platform that provides the configuration, the instance list and the
 * planner's lease. It relays requests by a route table and organizes instances in groups.
 * As {@link Daemon}, it starts its components in order and stops them in reverse order.
 */
public final class RoutingDaemon implements DaemonView {

	/** Peers must learn that a daemon left or died before callers refresh endpoints. */
	private static final long HEARTBEAT_INTERVAL_MILLIS = 300;

	private static final int MAX_PEER_CONNECTIONS = 256;

	/** Some heartbeat intervals and the time to connect. */
	private static final long PEER_DISCOVERY_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);

	private static final long MAX_FIRST_START_NANOS = TimeUnit.MINUTES.toNanos(1);

	private final RoutingSettings settings;

	private final ActorSystem<?> system;

	private final RoutingPorts ports;

	private final long incarnation = System.currentTimeMillis();

	private final long startedAtNanos = System.nanoTime();

	private final AtomicLong heartbeatSequence = new AtomicLong();

	private final EndpointLookups lookups;

	private final PeerDuty peers;

	private final FleetSize fleetSize;

	private final LimitShareUpdater limitShares;

	private final TrafficDuty traffic;

	private final Optional<FleetDemandExchange> demand;

	private final ReplicaDuty replicas;

	private final ListingDuty listing;

	private final WebLoop relayLoop = new WebLoop("relay");

	private final Connector targetConnector;

	private final Relay relay;

	private final TunnelServer tunnels;

	private final Metrics metrics = new Metrics();

	private final EvacuationMonitor evacuation = new EvacuationMonitor();

	private final ConfigurationPropagation configuration;

	private final Components components = new Components();

	private volatile RouteTable routeTable = RouteTable.UNKNOWN;

	private volatile boolean instanceListKnown;

	private volatile boolean leaving;

	private volatile boolean acceptingTraffic = true;

	/**
	 * Creates a daemon without starting it.
	 * @param system the process's actor system
	 * @param settings the daemon's settings
	 * @param ports the ports to the platform
	 */
	public RoutingDaemon(ActorSystem<?> system, RoutingSettings settings, RoutingPorts ports) {
		this.system = system;
		this.settings = settings;
		this.ports = ports;
		this.metrics.addProcessMeters();
		this.peers = new PeerDuty(system,
				(receiver) -> new PeerTransport(settings.peerAddress(), null, MAX_PEER_CONNECTIONS, receiver),
				settings.daemonId(), this::status, settings::peerSeeds, HEARTBEAT_INTERVAL_MILLIS);
		this.fleetSize = new FleetSize(this.peers);
		this.lookups = new EndpointLookups(this.peers::liveDaemons, settings.fleetDecisions());
		this.configuration = new ConfigurationPropagation(settings.daemonId(), ports.routes(), this.peers,
				discoveryEndsAtNanos());
		this.limitShares = new LimitShareUpdater(settings.daemonId(), this.peers::activeDaemonIds,
				HEARTBEAT_INTERVAL_MILLIS);
		final long seed = this.incarnation ^ ((long) settings.daemonId().hashCode() << Integer.SIZE);
		final Optional<FleetAdmission> admission = settings.fleetDecisions()
				? Optional.of(new FleetAdmission(seed, this.fleetSize::live)) : Optional.empty();
		this.traffic = new TrafficDuty(system, new TrafficCore(policies(seed, admission)), new NoClaims(),
				this.limitShares, (suspect, nowMillis) -> {
					// Crash reports are exchanged between daemons by gossip instead.
				}, new TraceRecorder(false));
		this.replicas = new ReplicaDuty(system, ports.lease(), ports.orders(), settings.plannerTimes(),
				this.traffic::onTargets, this::isBeforeFirstTraffic, settings.fleetDecisions(),
				settings.orderFencing());
		this.listing = new ListingDuty(system, settings.daemonId(), settings.maxListAgeMillis(),
				settings.fleetDecisions() ? ListReadPolicy.ECONOMICAL : ListReadPolicy.REDUNDANT, ports.instances(),
				() -> ports.lease().term(System.nanoTime()).isPresent(), this.peers::activeDaemonIds, this.peers::send,
				this::onInstanceList);
		this.replicas.setListAsOfSource(this.listing::asOf);
		final InstanceSignalDispatcher signals = new InstanceSignalDispatcher(this.traffic, this.replicas);
		ports.orders().setInstanceListener(signals);
		this.targetConnector = ports.targetConnections().connector(this.relayLoop);
		this.relay = new Relay(this.relayLoop, settings.callerAddress(), ports.dialect(), () -> this.routeTable,
				this.traffic, this.replicas::onLoadReport, signals, this.targetConnector);
		this.relay.loopMonitor().setRefusing(settings.fleetDecisions());
		this.tunnels = ports.targetConnections().server(this.relayLoop, settings.tunnelAddress());
		this.components
			.add(List.of(this.traffic, this.replicas, this.peers, ports.routes(), this.listing, ports.lease(),
					new AdminServer(settings.adminAddress(), new AdminHandler(this)), this.relay, this.tunnels));
		registerListeners();
		this.demand = admission.map((policy) -> new FleetDemandExchange(policy, this.traffic));
		this.demand.ifPresent(this::registerDemandExchange);
	}

	// A daemon without others has nobody to hear from.
	private long discoveryEndsAtNanos() {
		return this.settings.namesOtherDaemons() ? this.startedAtNanos + PEER_DISCOVERY_NANOS : this.startedAtNanos;
	}

	private TrafficPolicies policies(long seed, Optional<FleetAdmission> admission) {
		return admission.isPresent()
				? RoutingPolicies.createForFleet(this.settings.availabilityZone(), seed, this.settings.retryBudget(),
						this.fleetSize::largest, new GossipQuarantine(), admission.get())
				: RoutingPolicies.create(this.settings.availabilityZone(), seed, this.settings.retryBudget(),
						this.fleetSize::largest, new GossipQuarantine());
	}

	private void registerDemandExchange(FleetDemandExchange exchange) {
		this.peers.addExchange(exchange);
		this.replicas.setModelDemandSource(new ModelDemandShares(exchange::fleetDemand));
		new DaemonMeters(this.metrics).bind(exchange);
	}

	private void registerListeners() {
		this.ports.routes().setRouteListener((routes) -> {
			this.routeTable = routes;
			this.replicas.configure(routes);
			this.traffic.onColdStarts(routes.coldStarts());
			this.configuration.onInForce(routes);
		});
		this.configuration.bind(this.fleetSize::live);
		this.relay.setConfigurationLag(this.configuration);
		this.ports.lease().setCandidacy(this::isPlannerCandidate);
		this.peers.setListingReceiver(this.listing::onFrame);
		final TargetConnections targets = this.ports.targetConnections();
		targets.setPeers(this.peers::livePeers);
		targets.setPartitionListener(this.peers::sendHeartbeat);
		targets.startProbing(this.relayLoop);
		this.traffic.setStallListener((targetId) -> {
			targets.check(this.targetConnector, this.relayLoop, TargetView.instanceId(targetId));
			this.replicas.onTargetStalled(targetId);
			this.peers.broadcastStall(targetId);
		});
		this.ports.evacuations().setEvacuationListener(this.evacuation::onReading);
		new PeerExchanges(this.peers, this.traffic, this.replicas).bind(this.settings.namesOtherDaemons(),
				this.evacuation, this.relay, this.metrics);
		final DaemonMeters meters = new DaemonMeters(this.metrics);
		meters.bind(this.replicas);
		meters.bind(this.traffic, this.peers);
		meters.bind(targets, this.tunnels);
		meters.bind(this.relay, this.peers);
		meters.bind(this.listing, this.configuration);
		this.components.all().forEach((component) -> component.rings().forEach(meters::bind));
	}

	// A daemon that has just started knows no peers and would always include itself, so
	// it waits until it has had time to discover them.
	private boolean isPlannerCandidate() {
		return System.nanoTime() - this.startedAtNanos >= PEER_DISCOVERY_NANOS
				&& PlannerCandidates.includes(this.settings.daemonId(), this.peers.activeDaemonIds());
	}

	private void onInstanceList(List<ServingInstance> instances) {
		this.instanceListKnown = true;
		this.evacuation.onInstances(instances);
		this.ports.targetConnections().updateInstances(instances);
		// All daemons read the same entries, so one of them tells those that do not.
		this.traffic.coldMonitor().onInstances(this.routeTable, instances, this.listing.readsForOthers());
		this.replicas.updateInstances(instances);
	}

	private boolean isBeforeFirstTraffic() {
		return this.settings.firstStart() && this.relay.receivedRequestCount() == 0
				&& System.nanoTime() - this.startedAtNanos < MAX_FIRST_START_NANOS;
	}

	/**
	 * Starts all components in order.
	 */
	public void start() {
		this.components.start();
		Events.log(EventId.STARTED, "daemon", this.settings.daemonId(), "callers", this.settings.callerAddress(),
				"admin", this.settings.adminAddress(), "peers", this.settings.peerAddress(), "start_millis",
				TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.startedAtNanos));
	}

	/**
	 * Drains the daemon. It is removed from the endpoints at once, but serves late
	 * callers until their cached endpoints have expired and its active requests have
	 * completed, or until the grace time is nearly over. Afterwards no caller is
	 * connected; the other components keep running until {@link #stop()}.
	 */
	public void leave() {
		this.leaving = true;
		this.ports.lease().release();
		this.peers.sendHeartbeat();
		new GracefulShutdown(this.settings.graceMillis(), this.traffic, this.relay, this.tunnels, this.peers::livePeers)
			.run();
	}

	/**
	 * Stops all started components in reverse order, without draining.
	 */
	public void stop() {
		this.components.stop();
		this.system.terminate();
	}

	/**
	 * Returns whether no other daemon is offered to callers.
	 * @return whether all others are leaving, not ready or gone
	 */
	public boolean isOnlyChoice() {
		return this.peers.livePeers().stream().noneMatch((peer) -> peer.ready() && !peer.leaving());
	}

	/**
	 * Returns whether other daemons can serve this one's callers during its warm-up.
	 * @return whether traffic can be deferred
	 */
	public boolean canDeferTraffic() {
		return WarmUpPolicy.shouldWarmUp(status(), this.peers.livePeers());
	}

	/**
	 * Removes the daemon from the endpoints until {@link #acceptTraffic()} is called.
	 * Callers that connect regardless are served.
	 */
	public void deferTraffic() {
		this.acceptingTraffic = false;
		this.peers.sendHeartbeat();
	}

	/**
	 * Offers the daemon to callers as an endpoint, once it is ready.
	 */
	public void acceptTraffic() {
		this.acceptingTraffic = true;
		this.peers.sendHeartbeat();
		Events.log(EventId.TRAFFIC_ACCEPTED, "start_millis",
				TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.startedAtNanos));
	}

	private PeerStatus status() {
		return new PeerStatus(this.settings.daemonId(), this.settings.peerAddress(), this.settings.callerAddress(),
				this.settings.adminAddress(), this.settings.availabilityZone(), this.incarnation,
				this.heartbeatSequence.incrementAndGet(), configVersion(), 0, 0,
				this.acceptingTraffic && notReadyReason().isEmpty(), this.leaving, this.traffic.activeRequestCount(), 0,
				this.tunnels.localAddress(), this.ports.targetConnections().reachability().isPartitioned(),
				this.settings.cpuCores(), this.relay.loopMonitor().lagMillis());
	}

	/**
	 * Returns the endpoints that a caller should use.
	 * @param availabilityZone the caller's availability zone; empty where it is not known
	 * @return the daemons' caller addresses, in order of preference
	 */
	public List<String> endpoints(String availabilityZone) {
		final List<String> chosen = this.lookups.select(availabilityZone);
		// Without others a daemon offers itself, also before its warm-up or while it
		// leaves.
		return (chosen.isEmpty() && cannotServeReason().isEmpty()) ? List.of(this.settings.callerAddress()) : chosen;
	}

	/**
	 * Returns the address on which the daemon listens for callers.
	 * @return the address, as host and port; empty until it listens
	 */
	public String callerAddress() {
		return this.relay.callerAddress();
	}

	/**
	 * Returns the address on which the daemon listens for its peers.
	 * @return the address, as host and port
	 */
	public String peerAddress() {
		return this.peers.localAddress();
	}

	/**
	 * Returns the number of targets that accept requests.
	 * @return the number of targets
	 */
	public int servingTargets() {
		return this.replicas.servingTargetCount();
	}

	/**
	 * Returns the daemon's metrics, to which the platform adds its own.
	 * @return the metrics
	 */
	public Metrics meters() {
		return this.metrics;
	}

	@Override
	public Manifest manifest() {
		return Manifest.EMPTY;
	}

	@Override
	public long configVersion() {
		return this.routeTable.version();
	}

	@Override
	public Optional<String> notReadyReason() {
		return cannotServeReason().or(this.configuration::notReadyReason)
			.or(() -> this.leaving ? Optional.of("the daemon is leaving") : Optional.empty());
	}

	private Optional<String> cannotServeReason() {
		if (!this.relay.listening()) {
			return Optional.of("callers are not served yet");
		}
		if (!this.routeTable.isKnown()) {
			return Optional.of("no configuration is known");
		}
		if (!this.instanceListKnown) {
			return Optional.of("the instance list has not been read");
		}
		return Optional.empty();
	}

	@Override
	public boolean leaving() {
		return this.leaving;
	}

	@Override
	public List<PeerStatus> daemons() {
		return this.peers.liveDaemons();
	}

	@Override
	public Map<String, Object> dump() {
		return new RoutingDaemonDump(this.traffic, this.replicas, this.listing, this.ports.targetConnections(),
				this.tunnels, this.relay, this.evacuation, this.configuration, this.demand)
			.of(status(), notReadyReason(), daemons());
	}

	@Override
	public Optional<String> trace() {
		return Optional.empty();
	}

	@Override
	public String metrics() {
		return this.metrics.scrape();
	}

}
