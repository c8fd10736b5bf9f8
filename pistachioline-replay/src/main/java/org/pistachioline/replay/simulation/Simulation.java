package org.pistachioline.replay.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

import org.pistachioline.core.manifest.DeadlineSpec;
import org.pistachioline.core.manifest.Manifest;
import org.pistachioline.core.manifest.ModelSpec;
import org.pistachioline.core.manifest.ServiceSpec;
import org.pistachioline.core.manifest.WeightSpec;
import org.pistachioline.core.manifest.WorkspaceSpec;
import org.pistachioline.core.traffic.ClaimRequirement;
import org.pistachioline.core.traffic.RequestInfo;
import org.pistachioline.core.traffic.TargetKind;
import org.pistachioline.core.traffic.TargetView;
import org.pistachioline.core.traffic.TrafficAction;
import org.pistachioline.replay.trace.ArrivalLine;
import org.pistachioline.replay.trace.FaultLine;
import org.pistachioline.replay.trace.HeaderLine;
import org.pistachioline.replay.trace.ModelLine;
import org.pistachioline.replay.trace.ServiceLine;
import org.pistachioline.replay.trace.Trace;
import org.pistachioline.replay.trace.WorkspaceLine;

/**
 * Replays one trace with one set of policies.
 */
public final class Simulation {

	private static final double BUSY_TICK_MILLIS = 20;

	private static final double IDLE_TICK_MILLIS = 500;

	private static final double CALLER_MILLIS = 1;

	private static final double LEAST_RETURN_MILLIS = 1_000;

	private static final double DRAIN_SECONDS = 30;

	private final Trace trace;

	private final HeaderLine header;

	private final EventQueue events = new EventQueue();

	private final Figures figures;

	private final SimulatedLog log;

	private final List<SimulatedDaemon> daemons = new ArrayList<>();

	private final List<SimulatedTarget> targets = new ArrayList<>();

	private final Map<String, SimulatedTarget> targetsById = new HashMap<>();

	private final Set<String> quarantined = new HashSet<>();

	private final Map<String, String> suspects = new HashMap<>();

	private final UniformRandomProvider random;

	private final PolicySet policies;

	private long openCalls;

	private long nextRequestId = 1;

	/**
	 * Prepares a replay.
	 * @param trace the trace
	 * @param policies the policies
	 */
	public Simulation(Trace trace, PolicySet policies) {
		this.trace = trace;
		this.header = trace.header();
		this.policies = policies;
		this.figures = new Figures(trace);
		this.log = new SimulatedLog(this.events, this.header);
		this.random = RandomSource.SPLIT_MIX_64.create(this.header.seed() + 1);
	}

	/**
	 * Runs the trace to its end.
	 * @return the figures
	 */
	public Figures run() {
		this.openCalls = this.trace.arrivals().size();
		createTargets();
		for (int i = 0; i < this.header.daemons(); i++) {
			this.daemons.add(createDaemon(i));
			startDaemon(i);
		}
		repeat(this.header.reportLagMillis(), () -> this.targets.forEach(SimulatedTarget::report));
		for (final ArrivalLine arrival : this.trace.arrivals()) {
			this.events.atMillis(arrival.atMillis(), () -> submit(arrival, arrival.repeats(), null));
		}
		this.trace.faults().forEach(this::schedule);
		while (this.events.runNext()) {
			this.figures.onQueued(this.daemons);
		}
		this.figures.onOver(this.targets);
		return this.figures;
	}

	private void createTargets() {
		for (final ModelLine model : this.trace.models()) {
			for (int i = 0; i < model.replicas(); i++) {
				this.targets.add(new SimulatedTarget(this.events, this.figures, model, i, zone(i)));
			}
		}
		for (final ServiceLine service : this.trace.services()) {
			for (int i = 0; i < service.replicas(); i++) {
				this.targets.add(new SimulatedTarget(this.events, this.figures, service, i, zone(i)));
			}
		}
	}

	private String zone(int index) {
		return this.header.availabilityZones().get(index % this.header.availabilityZones().size());
	}

	private SimulatedDaemon createDaemon(int index) {
		final SimulatedDaemon daemon = new SimulatedDaemon(this, this.events, this.policies, index, zone(index),
				this.header.seed());
		daemon.configure(manifest());
		daemon.killers(this.quarantined, this.suspects);
		// All daemons know of each other from the start, as they do once it runs.
		for (int peer = 0; peer < this.header.daemons(); peer++) {
			if (peer != index) {
				daemon.hear("d" + peer, Map.of());
			}
		}
		daemon.share(workspaces());
		daemon.targets(views());
		return daemon;
	}

	private void startDaemon(int index) {
		final double stagger = (double) index / this.header.daemons();
		final double interval = this.header.reportIntervalMillis();
		this.events.afterMillis(stagger * interval,
				() -> repeat(interval, () -> live(index, (daemon) -> daemon.targets(views()))));
		this.events.afterMillis(stagger * interval, () -> repeat(interval, () -> live(index, this::gossip)));
		for (final ModelLine model : this.trace.models()) {
			if (model.cacheEventMillis() > 0) {
				this.events.afterMillis(stagger * model.cacheEventMillis(), () -> repeat(model.cacheEventMillis(),
						() -> live(index, (daemon) -> readCaches(daemon, model))));
			}
		}
		tick(index);
	}

	private void live(int index, Consumer<SimulatedDaemon> action) {
		if (this.daemons.get(index).alive()) {
			action.accept(this.daemons.get(index));
		}
	}

	private void readCaches(SimulatedDaemon daemon, ModelLine model) {
		for (final SimulatedTarget target : this.targets) {
			if (target.name().equals(model.name())) {
				daemon.readCache(target, model.cacheEventLossRatio());
			}
		}
	}

	private void gossip(SimulatedDaemon daemon) {
		final Map<String, Double> demand = daemon.demand();
		this.events.afterMillis(this.header.peerMillis(), () -> this.daemons.forEach((peer) -> {
			if (peer != daemon && peer.alive()) {
				peer.hear(daemon.daemonId(), demand);
			}
		}));
		daemon.share(workspaces());
	}

	private void tick(int index) {
		final SimulatedDaemon daemon = this.daemons.get(index);
		if (daemon.alive()) {
			daemon.tick();
		}
		if (!over()) {
			this.events.afterMillis((daemon.held() > 0) ? BUSY_TICK_MILLIS : IDLE_TICK_MILLIS, () -> tick(index));
		}
	}

	private void repeat(double intervalMillis, Runnable action) {
		action.run();
		if (!over()) {
			this.events.afterMillis(intervalMillis, () -> repeat(intervalMillis, action));
		}
	}

	private boolean over() {
		final double limitSeconds = this.header.durationSeconds() + this.header.totalMillis() / 1e3 + DRAIN_SECONDS;
		return this.openCalls <= 0 || this.events.nowNanos() > limitSeconds * 1e9;
	}

	private List<TargetView> views() {
		final long presenceNanos = this.header.presenceMillis() * 1_000_000L;
		final List<TargetView> views = new ArrayList<>();
		for (final SimulatedTarget target : this.targets) {
			this.targetsById.put(target.targetId(), target);
			views.add(target.view(presenceNanos));
		}
		return views;
	}

	private Manifest manifest() {
		return new Manifest(List.of(),
				this.trace.models()
					.stream()
					.map((model) -> new ModelSpec(model.name(), "", 1, 0, model.replicas(), model.slots()))
					.toList(),
				this.trace.services()
					.stream()
					.map((service) -> new ServiceSpec(service.name(), "", this.header.totalMillis(), List.of()))
					.toList(),
				this.trace.workspaces().stream().map(Simulation::workspace).toList(), WeightSpec.DEFAULT,
				new DeadlineSpec(this.header.firstTokenMillis(), this.header.totalMillis()));
	}

	private static WorkspaceSpec workspace(WorkspaceLine line) {
		return new WorkspaceSpec(line.name(), List.of(), line.requestsPerSecond(), line.tokensInFlight(),
				line.queuedRequests(), line.weight(), List.of(), List.of());
	}

	private List<String> workspaces() {
		return this.trace.workspaces().stream().map(WorkspaceLine::name).toList();
	}

	private void submit(ArrivalLine call, int repeatsLeft, SimulatedDaemon avoided) {
		final List<SimulatedDaemon> usable = this.daemons.stream()
			.filter((daemon) -> daemon.alive() && daemon != avoided)
			.toList();
		if (usable.isEmpty()) {
			callEnded();
			return;
		}
		final SimulatedDaemon daemon = usable.get(this.random.nextInt(usable.size()));
		final long atNanos = this.events.nowNanos();
		final Submission submission = new Submission(call, info(call, atNanos), daemon, atNanos, repeatsLeft);
		this.figures.onSubmit(submission);
		this.events.afterMillis(CALLER_MILLIS, () -> {
			if (daemon.alive()) {
				daemon.arrive(submission);
			}
			else {
				submission.ends++;
				connectionLost(submission);
			}
		});
	}

	private RequestInfo info(ArrivalLine call, long atNanos) {
		final boolean model = this.trace.models().stream().anyMatch((line) -> line.name().equals(call.target()));
		final long totalNanos = atNanos + this.header.totalMillis() * 1_000_000L;
		final long firstNanos = model ? atNanos + this.header.firstTokenMillis() * 1_000_000L : totalNanos;
		final long requestId = this.nextRequestId++;
		final ClaimRequirement claim = (call.key().isEmpty() || !this.policies.claims()) ? ClaimRequirement.NONE
				: new ClaimRequirement(call.workspace() + ":" + call.key(), "digest", this.header.totalMillis());
		final String fingerprint = call.fingerprint().isEmpty() ? "request-" + requestId : call.fingerprint();
		return new RequestInfo(requestId, call.workspace(), model ? TargetKind.MODEL : TargetKind.SERVICE,
				call.target(), call.promptTokens(), call.maxOutputTokens(), call.priority(), firstNanos, totalNanos,
				!claim.isRequired(), claim, fingerprint, call.prefixHashes());
	}

	void refused(Submission submission, TrafficAction.Fail fail) {
		final boolean again = fail.kind().retryable() || submission.call.patient();
		if (!again || submission.repeatsLeft == 0) {
			callEnded();
			return;
		}
		final double told = Math.max(LEAST_RETURN_MILLIS, fail.retryAfterMillis());
		final double after = (submission.call.repeatMillis() > 0) ? submission.call.repeatMillis() : told;
		this.events.afterMillis(after, () -> submit(submission.call, submission.repeatsLeft - 1, submission.daemon));
	}

	void connectionLost(Submission submission) {
		this.figures.onConnectionLost(submission);
		if (submission.repeatsLeft == 0) {
			callEnded();
			return;
		}
		this.events.afterMillis(LEAST_RETURN_MILLIS,
				() -> submit(submission.call, submission.repeatsLeft - 1, submission.daemon));
	}

	void callEnded() {
		this.openCalls--;
	}

	void suspect(TrafficAction.ReportSuspect report) {
		this.events.afterMillis(this.header.logLatencyMillis(), () -> {
			final String targetId = report.target().targetId();
			final String known = this.suspects.putIfAbsent(report.fingerprint(), targetId);
			if (report.quarantine() || (known != null && !known.equals(targetId))) {
				this.quarantined.add(report.fingerprint());
				this.suspects.remove(report.fingerprint());
			}
			final Set<String> barred = Set.copyOf(this.quarantined);
			final Map<String, String> suspected = Map.copyOf(this.suspects);
			List.copyOf(this.daemons).forEach((daemon) -> daemon.killers(barred, suspected));
		});
	}

	private void schedule(FaultLine fault) {
		final double period = fault.periodSeconds();
		double at = fault.fromSeconds();
		while (at < fault.toSeconds()) {
			final double until = (period > 0) ? Math.min(fault.toSeconds(), at + period) : fault.toSeconds();
			this.events.atMillis(at * 1e3, () -> begin(fault));
			this.events.atMillis(until * 1e3, () -> end(fault));
			at = (period > 0) ? at + 2 * period : fault.toSeconds();
		}
	}

	private void begin(FaultLine fault) {
		switch (fault.type()) {
			case SLOW -> failing(fault).forEach((target) -> target.slow(fault.factor()));
			case DOWN -> failing(fault).forEach(SimulatedTarget::down);
			case LOG_OUTAGE -> this.log.out(true);
			case DAEMON_LOST -> this.daemons.get(fault.daemon()).kill();
			case ZONE_LOST -> {
				failing(fault).forEach(SimulatedTarget::down);
				this.daemons.stream()
					.filter((daemon) -> daemon.availabilityZone().equals(fault.availabilityZone()))
					.toList()
					.forEach(SimulatedDaemon::kill);
			}
		}
	}

	private void end(FaultLine fault) {
		switch (fault.type()) {
			case SLOW -> failing(fault).forEach((target) -> target.slow(1));
			case DOWN -> failing(fault).forEach(SimulatedTarget::up);
			case LOG_OUTAGE -> this.log.out(false);
			case DAEMON_LOST -> revive(fault.daemon());
			case ZONE_LOST -> {
				failing(fault).forEach(SimulatedTarget::up);
				for (int i = 0; i < this.daemons.size(); i++) {
					if (this.daemons.get(i).availabilityZone().equals(fault.availabilityZone())) {
						revive(i);
					}
				}
			}
		}
	}

	private void revive(int index) {
		if (!this.daemons.get(index).alive()) {
			this.daemons.set(index, createDaemon(index));
		}
	}

	private List<SimulatedTarget> failing(FaultLine fault) {
		return this.targets.stream()
			.filter((target) -> (fault.type() == FaultLine.Type.ZONE_LOST)
					? target.availabilityZone().equals(fault.availabilityZone())
					: target.name().equals(fault.target()) && target.index() == fault.index())
			.toList();
	}

	SimulatedTarget target(String targetId) {
		return this.targetsById.get(targetId);
	}

	SimulatedLog log() {
		return this.log;
	}

	Figures figures() {
		return this.figures;
	}

}
