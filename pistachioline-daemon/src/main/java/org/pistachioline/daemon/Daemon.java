package org.pistachioline.daemon;

import java.io.File;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;

import org.apache.pekko.actor.typed.ActorSystem;

import org.pistachioline.adapters.codec.ConfigSnapshotCodec;
import org.pistachioline.adapters.codec.FleetSnapshotCodec;
import org.pistachioline.adapters.http.ActorSystems;
import org.pistachioline.adapters.http.HttpCaller;
import org.pistachioline.adapters.platform.HttpInstanceList;
import org.pistachioline.adapters.platform.HttpLogService;
import org.pistachioline.adapters.platform.LogService;
import org.pistachioline.adapters.target.HttpEngineControl;
import org.pistachioline.adapters.toml.Setting;
import org.pistachioline.adapters.toml.Settings;
import org.pistachioline.core.event.EventId;
import org.pistachioline.core.fleet.Instance;
import org.pistachioline.core.manifest.Manifest;
import org.pistachioline.core.peer.PeerStatus;
import org.pistachioline.core.planner.CostBasedWait;
import org.pistachioline.core.planner.GroupPlanner;
import org.pistachioline.core.presence.PresenceLimits;
import org.pistachioline.core.state.ConfigReducer;
import org.pistachioline.core.state.ConfigState;
import org.pistachioline.core.state.FleetReducer;
import org.pistachioline.core.state.FleetState;
import org.pistachioline.core.state.StalenessBound;
import org.pistachioline.core.stream.CheckpointPolicy;
import org.pistachioline.core.traffic.Drain;
import org.pistachioline.core.traffic.DrainAcceptance;
import org.pistachioline.core.traffic.StandardPolicies;
import org.pistachioline.core.traffic.TargetView;
import org.pistachioline.core.traffic.TrafficCore;
import org.pistachioline.daemon.agreed.AppendDuty;
import org.pistachioline.daemon.agreed.CheckpointDuty;
import org.pistachioline.daemon.agreed.StreamDuty;
import org.pistachioline.daemon.agreed.StreamReadiness;
import org.pistachioline.daemon.claims.ClaimForwarder;
import org.pistachioline.daemon.claims.ClaimService;
import org.pistachioline.daemon.event.Events;
import org.pistachioline.daemon.fleet.CacheEventDuty;
import org.pistachioline.daemon.fleet.FleetDuty;
import org.pistachioline.daemon.fleet.PlannerDuty;
import org.pistachioline.daemon.fleet.PresenceTransport;
import org.pistachioline.daemon.http.AdminHandler;
import org.pistachioline.daemon.http.AdminServer;
import org.pistachioline.daemon.http.CallerHandler;
import org.pistachioline.daemon.http.CallerLimits;
import org.pistachioline.daemon.http.DaemonView;
import org.pistachioline.daemon.http.HttpServer;
import org.pistachioline.daemon.http.ParsingErrors;
import org.pistachioline.daemon.metrics.Metrics;
import org.pistachioline.daemon.peer.CheckpointTransfer;
import org.pistachioline.daemon.peer.ExchangedStream;
import org.pistachioline.daemon.peer.PeerDuty;
import org.pistachioline.daemon.peer.PeerTls;
import org.pistachioline.daemon.peer.PeerTransport;
import org.pistachioline.daemon.peer.WorkspaceDemandExchange;
import org.pistachioline.daemon.traffic.ExchangeStarter;
import org.pistachioline.daemon.traffic.LimitShareUpdater;
import org.pistachioline.daemon.traffic.LogSuspectReporter;
import org.pistachioline.daemon.traffic.TraceRecorder;
import org.pistachioline.daemon.traffic.TrafficDuty;
import org.pistachioline.protocol.peer.PeerFrame;

/**
 * Daemon that reads its configuration and fleet state from the platform's log. It creates
 * its components, starts them in order and stops them in reverse order.
 */
public final class Daemon implements DaemonView {

	private static final long DRAIN_CHECK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

	/** Callers that are refused during the drain find other daemons meanwhile. */
	private static final long LEAVING_RETRY_MILLIS = 500;

	private static final long MAX_DRAIN_NANOS = TimeUnit.MINUTES.toNanos(15);

	private final Settings settings;

	private final ActorSystem<Void> system = ActorSystems.create("pistachioline", ParsingErrors.PEKKO_SETTINGS);

	private final long incarnation = System.currentTimeMillis();

	private final AtomicLong heartbeatSequence = new AtomicLong();

	private final AppendDuty appender;

	private final StreamDuty<ConfigState> config;

	private final StreamDuty<FleetState> fleet;

	private final FleetDuty instances;

	private final PlannerDuty planner;

	private final PeerDuty peers;

	private final ClaimForwarder claims;

	private final TraceRecorder recorder;

	private final LimitShareUpdater limitShares;

	private final TrafficDuty traffic;

	private final HttpServer callerServer;

	private final AdminServer adminServer;

	private final Metrics metrics = new Metrics();

	private final Components components = new Components();

	private final ConfigFreshness freshness;

	private volatile boolean leaving;

	/**
	 * Creates a daemon without starting it.
	 * @param settings the validated settings
	 */
	public Daemon(Settings settings) {
		this.settings = settings;
		final HttpCaller http = new HttpCaller(this.system);
		this.metrics.addProcessMeters(http.meter());
		final LogService log = new HttpLogService(http, settings.text(Setting.LOG_ADDRESS));
		final String selfId = settings.text(Setting.DAEMON_ID);
		final String writer = selfId + "#" + Long.toString(this.incarnation, Character.MAX_RADIX)
				+ Integer.toString(ThreadLocalRandom.current().nextInt(Character.MAX_RADIX), Character.MAX_RADIX);
		this.appender = new AppendDuty(this.system, log, writer, settings.whole(Setting.LOG_APPENDS_PER_SECOND),
				() -> daemons().size());
		this.config = new StreamDuty<>(this.system, settings.text(Setting.LOG_CONFIG_STREAM), log, new ConfigReducer(),
				new ConfigSnapshotCodec());
		this.fleet = new StreamDuty<>(this.system, settings.text(Setting.LOG_FLEET_STREAM), log, new FleetReducer(),
				new FleetSnapshotCodec());
		this.config.onFold(this.appender);
		this.fleet.onFold(this.appender);
		this.config.onRestore((state) -> this.appender.onRestored(this.config.stream(), state.writers()));
		this.fleet.onRestore((state) -> this.appender.onRestored(this.fleet.stream(), state.writers()));
		final ClaimService claims = new ClaimService(this.system, log, this.appender,
				settings.text(Setting.LOG_CLAIMS_STREAM), (int) settings.whole(Setting.LOG_CLAIMS_PARTITIONS));
		final HttpEngineControl engines = new HttpEngineControl(http);
		this.peers = new PeerDuty(this.system, this::createTransport, selfId, this::status, this::seedAddresses,
				settings.whole(Setting.PEERS_HEARTBEAT_MILLIS));
		this.freshness = new ConfigFreshness(
				new StalenessBound(Duration.ofSeconds(settings.whole(Setting.LOG_STALENESS_BOUND_SECONDS)).toMillis()),
				this.config::view, this.peers::livePeers);
		this.instances = new FleetDuty(this.system, this.config, this.fleet,
				new HttpInstanceList(http, settings.text(Setting.INSTANCES_ADDRESS)), engines,
				new PresenceTransport(selfId, this.peers), writer,
				new PresenceLimits(TimeUnit.MILLISECONDS.toNanos(settings.whole(Setting.PROBES_INTERVAL_MILLIS)),
						TimeUnit.MILLISECONDS.toNanos(settings.whole(Setting.PROBES_PRESENCE_BOUND_MILLIS))));
		this.planner = new PlannerDuty(this.system, this.config, this.fleet, this.instances, engines, this.appender,
				new GroupPlanner(new CostBasedWait()), selfId, this.peers::activeDaemonIds);
		this.claims = new ClaimForwarder(this.system, claims, selfId, writer, this.peers::activeDaemonIds,
				this.peers::send);
		this.peers.setClaimReceiver(this.claims::onFrame);
		this.recorder = new TraceRecorder(settings.flag(Setting.TRACE_RECORD));
		this.limitShares = new LimitShareUpdater(selfId, this.peers::activeDaemonIds,
				settings.whole(Setting.PEERS_HEARTBEAT_MILLIS));
		this.traffic = new TrafficDuty(this.system,
				new TrafficCore(StandardPolicies.create(settings.text(Setting.DAEMON_AVAILABILITY_ZONE),
						this.incarnation ^ ((long) selfId.hashCode() << Integer.SIZE))),
				this.claims, this.limitShares,
				new LogSuspectReporter(this.appender, settings.text(Setting.LOG_FLEET_STREAM)), this.recorder);
		this.peers.addExchange(new WorkspaceDemandExchange(this.limitShares::demand,
				(peer, demand) -> this.traffic.onPeerDemand(peer.daemonId(), peer.leaving(), demand)));
		final CacheEventDuty caches = new CacheEventDuty(this.system, engines, this.instances::view,
				this.traffic::onCacheEvents);
		final CallerLimits limits = new CallerLimits(settings.whole(Setting.CALLERS_MAX_BODY_BYTES),
				settings.whole(Setting.CALLERS_BODY_TIMEOUT_MILLIS),
				settings.whole(Setting.CALLERS_ENDPOINT_TTL_SECONDS));
		final CallerHandler callerHandler = new CallerHandler(this, new ExchangeStarter(http, this.traffic), http,
				limits, writer + "-");
		this.callerServer = new HttpServer(this.system, settings.text(Setting.CALLERS_ADDRESS), callerHandler::handle);
		this.adminServer = new AdminServer(settings.text(Setting.ADMIN_ADDRESS), new AdminHandler(this));
		// Replicated state starts first, then the duties that depend on it, then the HTTP
		// servers, the callers' last.
		final CheckpointDuty checkpoints = new CheckpointDuty(this.system, streams(claims), this.appender, selfId,
				this.peers::activeDaemonIds,
				new CheckpointPolicy(Duration.ofSeconds(settings.whole(Setting.LOG_RETENTION_SECONDS)).toMillis(),
						settings.whole(Setting.LOG_CHECKPOINT_ENTRIES)));
		final CheckpointTransfer transfer = new CheckpointTransfer(this.system, this.peers, selfId,
				exchangedStreams(claims));
		this.components
			.add(List.of(this.appender, this.config, this.fleet, claims, this.peers, this.claims, checkpoints, transfer,
					this.traffic, this.instances, this.planner, caches, this.adminServer, this.callerServer));
		registerListeners();
	}

	private List<StreamDuty<?>> streams(ClaimService claims) {
		final List<StreamDuty<?>> streams = new ArrayList<>(List.of(this.config, this.fleet));
		streams.addAll(claims.partitions());
		return streams;
	}

	private List<ExchangedStream> exchangedStreams(ClaimService claims) {
		final List<ExchangedStream> exchanged = new ArrayList<>();
		exchanged.add(new ExchangedStream(this.config, PeerStatus::configOffset));
		exchanged.add(new ExchangedStream(this.fleet, PeerStatus::fleetOffset));
		// Heartbeats do not carry the offsets of claim streams; with an offset of 0 each
		// peer is tried in turn.
		claims.partitions().forEach((partition) -> exchanged.add(new ExchangedStream(partition, (peer) -> 0)));
		return exchanged;
	}

	private PeerTransport createTransport(Consumer<PeerFrame> receiver) {
		final String certificate = this.settings.text(Setting.PEERS_TLS_CERTIFICATE);
		final PeerTls tls = certificate.isEmpty() ? null
				: PeerTls.read(new File(certificate), new File(this.settings.text(Setting.PEERS_TLS_KEY)),
						new File(this.settings.text(Setting.PEERS_TLS_TRUST)));
		return new PeerTransport(this.settings.text(Setting.PEERS_ADDRESS), tls,
				(int) this.settings.whole(Setting.PEERS_MAX_CONNECTIONS), receiver);
	}

	private void registerListeners() {
		final AtomicLong versionInForce = new AtomicLong();
		this.config.onChange(() -> {
			final ConfigState state = this.config.view().state();
			if (state.version() != versionInForce.getAndSet(state.version())) {
				this.traffic.onManifest(state.manifest());
				Events.log(EventId.CONFIG_IN_FORCE, "version", state.version(), "offset", state.acceptedOffset());
			}
		});
		this.fleet.onChange(() -> this.traffic.onFleetState(this.fleet.view().state()));
		this.instances.onChange((view) -> this.traffic.onTargets(view.targets()));
		final DaemonMeters meters = new DaemonMeters(this.metrics);
		meters.bind(this.traffic, this.appender, this.peers, this.config, this.fleet);
		this.components.all().forEach((component) -> component.rings().forEach(meters::bind));
		this.metrics.gauge("pistachioline.config.version", "Version of the configuration in force",
				this::configVersion);
		this.metrics.gauge("pistachioline.config.age", "Milliseconds since the configuration was known to be fresh",
				this.freshness::ageMillis);
	}

	/**
	 * Starts all components in order.
	 */
	public void start() {
		this.components.start();
		Events.log(EventId.STARTED, "daemon", this.settings.text(Setting.DAEMON_ID), "callers",
				this.callerServer.localAddress(), "admin", this.adminServer.localAddress(), "peers",
				this.peers.localAddress());
	}

	/**
	 * Drains and stops the daemon. It is removed from the endpoints at once, accepts
	 * requests until the endpoint lists that callers have cached have expired, completes
	 * its active requests, for 15 minutes at most, and then stops all components.
	 */
	public void leave() {
		Events.log(EventId.STOPPING);
		this.leaving = true;
		this.peers.sendHeartbeat();
		final long leaveStartedAtNanos = System.nanoTime();
		final long endpointTtlNanos = Duration.ofSeconds(this.settings.whole(Setting.CALLERS_ENDPOINT_TTL_SECONDS))
			.toNanos();
		while (System.nanoTime() - leaveStartedAtNanos < endpointTtlNanos) {
			LockSupport.parkNanos(DRAIN_CHECK_INTERVAL_NANOS);
		}
		this.traffic.drain(new Drain(System.nanoTime(), DrainAcceptance.NOTHING, LEAVING_RETRY_MILLIS, false));
		while (this.traffic.activeRequestCount() > 0 && System.nanoTime() - leaveStartedAtNanos < MAX_DRAIN_NANOS) {
			LockSupport.parkNanos(DRAIN_CHECK_INTERVAL_NANOS);
		}
		stop();
	}

	/**
	 * Stops all started components in reverse order, without draining.
	 */
	public void stop() {
		this.components.stop();
		this.system.terminate();
		Events.log(EventId.STOPPED);
	}

	private List<String> seedAddresses() {
		final List<String> seeds = new ArrayList<>(this.settings.texts(Setting.PEERS_SEEDS));
		final String pool = this.settings.text(Setting.INSTANCES_DAEMON_POOL);
		for (final Instance instance : this.instances.view().instances()) {
			if (instance.pool().equals(pool)) {
				seeds.add(instance.address());
			}
		}
		return seeds;
	}

	private PeerStatus status() {
		return new PeerStatus(this.settings.text(Setting.DAEMON_ID), this.peers.localAddress(),
				this.callerServer.localAddress(), this.adminServer.localAddress(),
				this.settings.text(Setting.DAEMON_AVAILABILITY_ZONE), this.incarnation,
				this.heartbeatSequence.incrementAndGet(), configVersion(), this.config.view().nextOffset(),
				this.fleet.view().nextOffset(), notReadyReason().isEmpty(), this.leaving, loadRatio(),
				this.freshness.logAgeMillis());
	}

	private double loadRatio() {
		final int slots = this.instances.view()
			.targets()
			.stream()
			.filter(TargetView::serving)
			.mapToInt(TargetView::slots)
			.sum();
		// Relative to this daemon's equal share of all slots; above 1 requests queue
		// here.
		return this.traffic.activeRequestCount() * (double) Math.max(1, daemonCount()) / Math.max(1, slots);
	}

	private int daemonCount() {
		// Must not call daemons(), which calls status() of this daemon and would recurse.
		return this.peers.livePeers().size() + 1;
	}

	@Override
	public Manifest manifest() {
		return this.config.view().state().manifest();
	}

	@Override
	public long configVersion() {
		return this.config.view().state().version();
	}

	@Override
	public Optional<String> notReadyReason() {
		if (this.callerServer.localAddress().isEmpty()) {
			return Optional.of("callers are not served yet");
		}
		final Optional<String> unknown = StreamReadiness.notReadyReason(this.config.stream(), this.config.view())
			.or(() -> StreamReadiness.notReadyReason(this.fleet.stream(), this.fleet.view()));
		if (unknown.isPresent()) {
			return unknown;
		}
		if (configVersion() == 0) {
			return Optional.of("no configuration was published");
		}
		if (this.freshness.isStale()) {
			return Optional.of("neither the log nor a daemon that reads it could be reached for too long");
		}
		if (!this.instances.view().listed()) {
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
	public Optional<String> trace() {
		if (!this.recorder.isRecording()) {
			return Optional.empty();
		}
		final Map<String, Integer> replicas = new HashMap<>();
		this.instances.view().targets().forEach((target) -> replicas.merge(target.name(), 1, Integer::sum));
		return Optional.of(this.recorder.toJsonLines(this.settings.text(Setting.DAEMON_ID), manifest(), replicas));
	}

	@Override
	public String metrics() {
		return this.metrics.scrape();
	}

	@Override
	public Map<String, Object> dump() {
		final Map<String, Object> dump = new LinkedHashMap<>();
		dump.put("daemon", status());
		dump.put("not_ready_reason", notReadyReason().orElse(""));
		dump.putAll(new DaemonDump(this.config, this.fleet, this.instances, this.planner, this.appender, this.traffic,
				this.limitShares, this.components.all())
			.sections(this.freshness.ageMillis(), daemons()));
		return dump;
	}

}
