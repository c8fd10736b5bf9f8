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
 * One daemon of a {@link CrashSimulation}: the decision core with the policies of a
 * daemon that relays by routes, and what carries out its actions.
 */
final class CrashSimulationDaemon {

	private static final long ONE_WAY_NANOS = 2 * CrashSimulation.MILLI_NANOS;

	/** A broken connection, and a new one that is refused. */
	private static final long CRASH_DETECTION_NANOS = 3 * ONE_WAY_NANOS;

	private static final long SOFT_DEADLINE_NANOS = 400 * CrashSimulation.MILLI_NANOS;

	private static final long DEADLINE_NANOS = 6 * CrashSimulation.SECOND_NANOS;

	private static final long RESUBMIT_DELAY_NANOS = 50 * CrashSimulation.MILLI_NANOS;

	private static final int MAX_STARTING_EVENTS = 3;

	private final CrashSimulation world;

	private final String id;

	private final Map<Long, Caller> callers = new HashMap<>();

	private final Map<AttemptId, Sent> liveAttempts = new HashMap<>();

	private final Map<String, Integer> knownIncarnations = new HashMap<>();

	private TrafficCore core;

	private boolean running;

	private long startedAtNanos;

	private int incarnation;

	private long lastRequestId;

	CrashSimulationDaemon(CrashSimulation world, String id) {
		this.world = world;
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
	 * Returns how long ago it started.
	 * @return the time in nanoseconds
	 */
	long uptimeNanos() {
		return this.world.nowNanos() - this.startedAtNanos;
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
		this.startedAtNanos = this.world.nowNanos();
		this.core = new TrafficCore(RoutingPolicies.create("zone", this.world.random.nextLong(),
				new RetryBudget(0.2, 100, 10 * CrashSimulation.SECOND_NANOS), () -> 8, this.world.policy()));
		updateTargets();
	}

	void updateTargets() {
		if (this.running) {
			apply(this.core.onTargets(this.world.nowNanos(), this.world.views()));
		}
	}

	void tick() {
		if (this.running) {
			apply(this.core.onTick(this.world.nowNanos()));
			final List<SuspectedRequest> news = this.core.targetCrashes().drainBroadcast(this.world.nowNanos());
			if (!news.isEmpty()) {
				this.world.broadcast(this, news);
			}
		}
	}

	/**
	 * Returns whether a daemon that sends a heartbeat here was not known before in its
	 * present life.
	 * @param from the daemon
	 * @return whether it was not
	 */
	boolean isNewIncarnation(CrashSimulationDaemon from) {
		return !Integer.valueOf(from.incarnation).equals(this.knownIncarnations.put(from.id, from.incarnation));
	}

	List<SuspectedRequest> gossipSample() {
		return this.core.targetCrashes().gossipSample(this.world.nowNanos());
	}

	/**
	 * Takes what another daemon tells.
	 * @param told what it tells
	 * @param delayNanos how long the frame took, by which deaths look later than they
	 * were
	 */
	void receive(List<SuspectedRequest> told, long delayNanos) {
		if (this.running) {
			this.core.targetCrashes()
				.onPeerReports(this.world.nowNanos(),
						told.stream()
							.map((request) -> new SuspectedRequest(request.fingerprint(),
									request.evidence().stream().map((death) -> delayed(death, delayNanos)).toList()))
							.toList());
			apply(this.core.onTick(this.world.nowNanos()));
		}
	}

	private static CrashEvidence delayed(CrashEvidence death, long nanos) {
		return new CrashEvidence(death.targetId(), death.crashedAtNanos() + nanos, death.phase(), death.excused());
	}

	void arrive(String fingerprint, int repeats) {
		final long nowNanos = this.world.nowNanos();
		final long requestId = ++this.lastRequestId;
		this.callers.put(requestId, new Caller(fingerprint, repeats));
		apply(this.core.onRequest(nowNanos,
				new RequestInfo(requestId, "shop", TargetKind.MODEL, "pool/m", 100, 60, 0, nowNanos + DEADLINE_NANOS,
						nowNanos + DEADLINE_NANOS, true, ClaimRequirement.NONE, fingerprint, List.of(), 2,
						nowNanos + SOFT_DEADLINE_NANOS)));
	}

	/**
	 * Learns that a target is dead, a moment after its attempts there broke off.
	 * @param targetId the target
	 * @param ended what the target was running, for all daemons
	 */
	void onTargetCrash(String targetId, List<CrashSimulationTarget.Run> ended) {
		final Set<String> beginning = new HashSet<>();
		final Set<String> underWay = new HashSet<>();
		ended.stream()
			.filter((run) -> run.attempt.daemon() == this)
			.forEach((run) -> ((run.events <= MAX_STARTING_EVENTS) ? beginning : underWay).add(run.fingerprint));
		if (!beginning.isEmpty() || !underWay.isEmpty()) {
			afterUnlessRestarted(CRASH_DETECTION_NANOS, () -> {
				this.core.targetCrashes()
					.onCrash(this.world.nowNanos(), new TargetCrash(targetId, beginning, underWay));
				apply(this.core.onTick(this.world.nowNanos()));
			});
		}
	}

	private void apply(List<TrafficAction> actions) {
		actions.forEach(this::apply);
	}

	private void apply(TrafficAction action) {
		final long requestId = action.requestId();
		if (action instanceof TrafficAction.Start start) {
			send(start, this.callers.get(requestId).fingerprint());
		}
		else if (action instanceof TrafficAction.Cancel cancel) {
			final Sent sent = this.liveAttempts.get(cancel.attempt());
			this.world.after(ONE_WAY_NANOS, () -> sent.target.cancel(sent));
			sent.end(AttemptOutcome.CANCELLED, 0);
		}
		else if (action instanceof TrafficAction.Finish) {
			final Caller caller = this.callers.remove(requestId);
			this.world.bystandersServed += caller.crashesTargets() ? 0 : 1;
		}
		else if (action instanceof TrafficAction.Fail fail) {
			onFail(this.callers.remove(requestId), fail.kind());
		}
	}

	private void onFail(Caller caller, ErrorKind kind) {
		if (kind == ErrorKind.QUARANTINED && !caller.crashesTargets()) {
			this.world.quarantinedBystanders.add(caller.fingerprint());
		}
		if (kind != ErrorKind.QUARANTINED && caller.resubmissions() > 0) {
			this.world.after(RESUBMIT_DELAY_NANOS,
					() -> this.world.arrive(caller.fingerprint(), caller.resubmissions() - 1));
		}
	}

	private void send(TrafficAction.Start start, String fingerprint) {
		final CrashSimulationTarget target = this.world.target(start.target().targetId());
		final Sent sent = new Sent(start.attempt(), target, start.resumeFromTokens());
		this.liveAttempts.put(start.attempt(), sent);
		afterUnlessRestarted(ONE_WAY_NANOS, () -> {
			if (target == null || !target.up() || !target.hasId(start.target().targetId())) {
				afterUnlessRestarted(ONE_WAY_NANOS, () -> sent.end(AttemptOutcome.NOT_CONNECTED, 0));
			}
			else if (!sent.ended) {
				target.run(sent, fingerprint);
			}
		});
	}

	private void afterUnlessRestarted(long nanos, Runnable what) {
		final int inLife = this.incarnation;
		this.world.after(nanos, () -> {
			if (this.running && this.incarnation == inLife) {
				what.run();
			}
		});
	}

	private record Caller(String fingerprint, int resubmissions) {

		boolean crashesTargets() {
			return this.fingerprint.startsWith(CrashSimulation.CRASHING_PREFIX);
		}

	}

	/** An attempt that was sent to a target. */
	final class Sent {

		private final AttemptId attempt;

		private final CrashSimulationTarget target;

		private final int resumedFromTokens;

		private boolean ended;

		Sent(AttemptId attempt, CrashSimulationTarget target, int resumedFrom) {
			this.attempt = attempt;
			this.target = target;
			this.resumedFromTokens = resumedFrom;
		}

		CrashSimulationDaemon daemon() {
			return CrashSimulationDaemon.this;
		}

		void progress(int events) {
			afterUnlessRestarted(ONE_WAY_NANOS, () -> {
				if (!this.ended) {
					CrashSimulationDaemon.this.core.onProgress(CrashSimulationDaemon.this.world.nowNanos(),
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

		private void end(AttemptOutcome how, int events) {
			if (!this.ended) {
				this.ended = true;
				CrashSimulationDaemon.this.liveAttempts.remove(this.attempt);
				apply(CrashSimulationDaemon.this.core.onAttemptEnd(CrashSimulationDaemon.this.world.nowNanos(),
						this.attempt, how, this.resumedFromTokens + events));
			}
		}

	}

}
