package org.pistachioline.core.quarantine;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.pistachioline.core.error.ErrorKind;
import org.pistachioline.core.retry.RetryBudget;
import org.pistachioline.core.traffic.AttemptId;
import org.pistachioline.core.traffic.AttemptOutcome;
import org.pistachioline.core.traffic.ClaimRequirement;
import org.pistachioline.core.traffic.RequestInfo;
import org.pistachioline.core.traffic.RoutingPolicies;
import org.pistachioline.core.traffic.TargetKind;
import org.pistachioline.core.traffic.TrafficAction;
import org.pistachioline.core.traffic.TrafficCore;

/**
 * A simulated daemon: the traffic core with the policies of a daemon that relays by
 * routes, and an executor of its actions.
 */
final class CrashSimulationDaemon {

	private static final long ONE_WAY_NANOS = 2 * CrashSimulation.MILLI_NANOS;

	/** Time for a connection to break and a new one to be refused. */
	private static final long CRASH_DETECTION_NANOS = 3 * ONE_WAY_NANOS;

	private static final long SOFT_DEADLINE_NANOS = 400 * CrashSimulation.MILLI_NANOS;

	private static final long DEADLINE_NANOS = 6 * CrashSimulation.SECOND_NANOS;

	private static final long RESUBMIT_DELAY_NANOS = 50 * CrashSimulation.MILLI_NANOS;

	private static final int MAX_STARTING_EVENTS = 3;

	private final CrashSimulation simulation;

	private final String id;

	private final Map<Long, Caller> callers = new HashMap<>();

	private final Map<AttemptId, SentAttempt> liveAttempts = new HashMap<>();

	private final Map<String, Integer> knownIncarnations = new HashMap<>();

	private TrafficCore core;

	private boolean running;

	private long startedAtNanos;

	private int incarnation;

	private long lastRequestId;

	CrashSimulationDaemon(CrashSimulation simulation, String id) {
		this.simulation = simulation;
		this.id = id;
		start();
	}

	String id() {
		return this.id;
	}

	boolean running() {
		return this.running;
	}

	/**
	 * Returns the time since the last start.
	 * @return the uptime in nanoseconds
	 */
	long uptimeNanos() {
		return this.simulation.nowNanos() - this.startedAtNanos;
	}

	TrafficCore core() {
		return this.core;
	}

	void stop() {
		this.running = false;
		this.incarnation++;
		this.liveAttempts.values().forEach((sent) -> sent.target.cancel(sent));
		this.liveAttempts.clear();
		this.callers.clear();
		this.knownIncarnations.clear();
	}

	void start() {
		this.running = true;
		this.startedAtNanos = this.simulation.nowNanos();
		this.core = new TrafficCore(RoutingPolicies.create("zone", this.simulation.random.nextLong(),
				new RetryBudget(0.2, 100, 10 * CrashSimulation.SECOND_NANOS), () -> 8, this.simulation.policy()));
		updateTargets();
	}

	void updateTargets() {
		if (this.running) {
			apply(this.core.onTargets(this.simulation.nowNanos(), this.simulation.views()));
		}
	}

	void tick() {
		if (this.running) {
			apply(this.core.onTick(this.simulation.nowNanos()));
			final List<SuspectedRequest> broadcast = this.core.targetCrashes()
				.drainBroadcast(this.simulation.nowNanos());
			if (!broadcast.isEmpty()) {
				this.simulation.broadcast(this, broadcast);
			}
		}
	}

	/**
	 * Records the incarnation of a daemon that sent a heartbeat.
	 * @param sender the daemon
	 * @return true if this incarnation was not known
	 */
	boolean isNewIncarnation(CrashSimulationDaemon sender) {
		return !Integer.valueOf(sender.incarnation).equals(this.knownIncarnations.put(sender.id, sender.incarnation));
	}

	List<SuspectedRequest> gossipSample() {
		return this.core.targetCrashes().gossipSample(this.simulation.nowNanos());
	}

	/**
	 * Receives crash evidence from another daemon.
	 * @param suspects the requests with their evidence
	 * @param delayNanos the transmission delay, by which crashes appear later than they
	 * were
	 */
	void receive(List<SuspectedRequest> suspects, long delayNanos) {
		if (this.running) {
			this.core.targetCrashes()
				.onPeerReports(this.simulation.nowNanos(), suspects.stream()
					.map((request) -> new SuspectedRequest(request.kind(), request.fingerprint(),
							request.evidence().stream().map((evidence) -> delayed(evidence, delayNanos)).toList()))
					.toList());
			apply(this.core.onTick(this.simulation.nowNanos()));
		}
	}

	private static CrashEvidence delayed(CrashEvidence evidence, long nanos) {
		return new CrashEvidence(evidence.targetId(), evidence.crashedAtNanos() + nanos, evidence.phase(),
				evidence.excused());
	}

	void arrive(String fingerprint, List<String> promptParts, int resubmissions) {
		final long nowNanos = this.simulation.nowNanos();
		final long requestId = ++this.lastRequestId;
		this.callers.put(requestId, new Caller(fingerprint, promptParts, resubmissions));
		apply(this.core.onRequest(nowNanos,
				new RequestInfo(requestId, "shop", TargetKind.MODEL, "pool/m", 100, 60, 0, nowNanos + DEADLINE_NANOS,
						nowNanos + DEADLINE_NANOS, true, ClaimRequirement.NONE, fingerprint, List.of(), 2,
						nowNanos + SOFT_DEADLINE_NANOS, promptParts, 60)));
	}

	/**
	 * Handles a crash of a target, confirmed shortly after its attempts broke off.
	 * @param targetId the target
	 * @param interrupted the attempts of all daemons that were running on the target
	 */
	void onTargetCrash(String targetId, List<CrashSimulationTarget.Run> interrupted) {
		final Set<String> starting = new HashSet<>();
		final Set<String> inProgress = new HashSet<>();
		final Set<String> startingParts = new HashSet<>();
		interrupted.stream()
			.filter((run) -> run.attempt.daemon() == this && run.events <= MAX_STARTING_EVENTS)
			.forEach((run) -> startingParts.addAll(run.promptParts));
		interrupted.stream()
			.filter((run) -> run.attempt.daemon() == this)
			.forEach((run) -> ((run.events <= MAX_STARTING_EVENTS) ? starting : inProgress).add(run.fingerprint));
		if (!starting.isEmpty() || !inProgress.isEmpty()) {
			afterUnlessRestarted(CRASH_DETECTION_NANOS, () -> {
				this.core.targetCrashes()
					.onCrash(this.simulation.nowNanos(),
							new TargetCrash(targetId, starting, inProgress, startingParts));
				apply(this.core.onTick(this.simulation.nowNanos()));
			});
		}
	}

	private void apply(List<TrafficAction> actions) {
		actions.forEach(this::apply);
	}

	private void apply(TrafficAction action) {
		final long requestId = action.requestId();
		if (action instanceof TrafficAction.Start start) {
			send(start, this.callers.get(requestId));
		}
		else if (action instanceof TrafficAction.Cancel cancel) {
			final SentAttempt sent = this.liveAttempts.get(cancel.attempt());
			this.simulation.after(ONE_WAY_NANOS, () -> sent.target.cancel(sent));
			sent.end(AttemptOutcome.CANCELLED, 0);
		}
		else if (action instanceof TrafficAction.Finish) {
			final Caller caller = this.callers.remove(requestId);
			if (!caller.crashesTargets()) {
				this.simulation.onServed();
			}
		}
		else if (action instanceof TrafficAction.Fail fail) {
			onFail(this.callers.remove(requestId), fail.kind());
		}
	}

	private void onFail(Caller caller, ErrorKind kind) {
		if (kind == ErrorKind.QUARANTINED && !caller.crashesTargets()) {
			this.simulation.quarantinedBystanders.add(caller.fingerprint());
		}
		if (kind != ErrorKind.QUARANTINED && caller.resubmissions() > 0) {
			this.simulation.after(RESUBMIT_DELAY_NANOS, () -> this.simulation.arrive(caller.fingerprint(),
					caller.promptParts(), caller.resubmissions() - 1));
		}
	}

	private void send(TrafficAction.Start start, Caller caller) {
		final CrashSimulationTarget target = this.simulation.target(start.target().targetId());
		final SentAttempt sent = new SentAttempt(start.attempt(), target, start.resumeFromTokens());
		this.liveAttempts.put(start.attempt(), sent);
		afterUnlessRestarted(ONE_WAY_NANOS, () -> {
			if (target == null || !target.up() || !target.hasId(start.target().targetId())) {
				afterUnlessRestarted(ONE_WAY_NANOS, () -> sent.end(AttemptOutcome.NOT_CONNECTED, 0));
			}
			else if (!sent.ended) {
				target.run(sent, caller.fingerprint(), caller.promptParts());
			}
		});
	}

	private void afterUnlessRestarted(long nanos, Runnable action) {
		final int scheduledIncarnation = this.incarnation;
		this.simulation.after(nanos, () -> {
			if (this.running && this.incarnation == scheduledIncarnation) {
				action.run();
			}
		});
	}

	private record Caller(String fingerprint, List<String> promptParts, int resubmissions) {

		boolean crashesTargets() {
			return CrashSimulation.culprit(this.fingerprint, this.promptParts).isPresent();
		}

	}

	/** An attempt in flight to a target. */
	final class SentAttempt {

		private final AttemptId attempt;

		private final CrashSimulationTarget target;

		private final int resumedFromTokens;

		private boolean ended;

		SentAttempt(AttemptId attempt, CrashSimulationTarget target, int resumedFromTokens) {
			this.attempt = attempt;
			this.target = target;
			this.resumedFromTokens = resumedFromTokens;
		}

		CrashSimulationDaemon daemon() {
			return CrashSimulationDaemon.this;
		}

		void progress(int events) {
			afterUnlessRestarted(ONE_WAY_NANOS, () -> {
				if (!this.ended) {
					CrashSimulationDaemon.this.core.onProgress(CrashSimulationDaemon.this.simulation.nowNanos(),
							this.attempt, this.resumedFromTokens + events);
				}
			});
		}

		void complete() {
			afterUnlessRestarted(ONE_WAY_NANOS, () -> end(AttemptOutcome.COMPLETE, 0));
		}

		void broken(int events) {
			afterUnlessRestarted(ONE_WAY_NANOS, () -> end(AttemptOutcome.BROKEN, events));
		}

		private void end(AttemptOutcome end, int events) {
			if (!this.ended) {
				this.ended = true;
				CrashSimulationDaemon.this.liveAttempts.remove(this.attempt);
				apply(CrashSimulationDaemon.this.core.onAttemptEnd(CrashSimulationDaemon.this.simulation.nowNanos(),
						this.attempt, end, this.resumedFromTokens + events));
			}
		}

	}

}
