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
 * One daemon of a {@link CrashWorld}: the decision core with the policies of a daemon
 * that relays by routes, and what carries out its actions.
 */
final class CrashWorldDaemon {

	private static final long ONE_WAY_NANOS = 2 * CrashWorld.MILLI_NANOS;

	/** A broken connection, and a new one that is refused. */
	private static final long FOUND_DEAD_NANOS = 3 * ONE_WAY_NANOS;

	private static final long AIM_NANOS = 400 * CrashWorld.MILLI_NANOS;

	private static final long DEADLINE_NANOS = 6 * CrashWorld.SECOND_NANOS;

	private static final long REPEAT_NANOS = 50 * CrashWorld.MILLI_NANOS;

	private static final int FEW_EVENTS = 3;

	private final CrashWorld world;

	private final String id;

	private final Map<Long, Caller> callers = new HashMap<>();

	private final Map<AttemptId, Sent> live = new HashMap<>();

	private final Map<String, Integer> lives = new HashMap<>();

	private TrafficCore core;

	private boolean running;

	private long startedAtNanos;

	private int life;

	private long requests;

	CrashWorldDaemon(CrashWorld world, String id) {
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
		this.life++;
		this.live.values().forEach((sent) -> sent.target.drop(sent));
		this.live.clear();
		this.callers.clear();
		this.lives.clear();
	}

	void start() {
		this.running = true;
		this.startedAtNanos = this.world.nowNanos();
		this.core = new TrafficCore(RoutingPolicies.create("zone", this.world.random.nextLong(),
				new RetryBudget(0.2, 100, 10 * CrashWorld.SECOND_NANOS), () -> 8, this.world.policy()));
		list();
	}

	void list() {
		if (this.running) {
			act(this.core.onTargets(this.world.nowNanos(), this.world.views()));
		}
	}

	void tick() {
		if (this.running) {
			act(this.core.onTick(this.world.nowNanos()));
			final List<SuspectedRequest> news = this.core.targetCrashes().drainBroadcast(this.world.nowNanos());
			if (!news.isEmpty()) {
				this.world.tellAll(this, news);
			}
		}
	}

	/**
	 * Returns whether a daemon that sends a heartbeat here was not known before in its
	 * present life.
	 * @param from the daemon
	 * @return whether it was not
	 */
	boolean isNew(CrashWorldDaemon from) {
		return !Integer.valueOf(from.life).equals(this.lives.put(from.id, from.life));
	}

	List<SuspectedRequest> sample() {
		return this.core.targetCrashes().gossipSample(this.world.nowNanos());
	}

	/**
	 * Takes what another daemon tells.
	 * @param told what it tells
	 * @param delayNanos how long the frame took, by which deaths look later than they
	 * were
	 */
	void hear(List<SuspectedRequest> told, long delayNanos) {
		if (this.running) {
			this.core.targetCrashes()
				.onPeerReports(this.world.nowNanos(),
						told.stream()
							.map((request) -> new SuspectedRequest(request.fingerprint(),
									request.deaths().stream().map((death) -> later(death, delayNanos)).toList()))
							.toList());
			act(this.core.onTick(this.world.nowNanos()));
		}
	}

	private static TargetDeath later(TargetDeath death, long nanos) {
		return new TargetDeath(death.targetId(), death.diedAtNanos() + nanos, death.phase(), death.excused());
	}

	void arrive(String fingerprint, int repeats) {
		final long nowNanos = this.world.nowNanos();
		final long requestId = ++this.requests;
		this.callers.put(requestId, new Caller(fingerprint, repeats));
		act(this.core.onRequest(nowNanos,
				new RequestInfo(requestId, "shop", TargetKind.MODEL, "pool/m", 100, 60, 0, nowNanos + DEADLINE_NANOS,
						nowNanos + DEADLINE_NANOS, true, ClaimRequirement.NONE, fingerprint, List.of(), 2,
						nowNanos + AIM_NANOS)));
	}

	/**
	 * Learns that a target is dead, a moment after its attempts there broke off.
	 * @param targetId the target
	 * @param ended what the target was running, for all daemons
	 */
	void died(String targetId, List<CrashWorldTarget.Run> ended) {
		final Set<String> beginning = new HashSet<>();
		final Set<String> underWay = new HashSet<>();
		ended.stream()
			.filter((run) -> run.attempt.daemon() == this)
			.forEach((run) -> ((run.events <= FEW_EVENTS) ? beginning : underWay).add(run.fingerprint));
		if (!beginning.isEmpty() || !underWay.isEmpty()) {
			inThisLife(FOUND_DEAD_NANOS, () -> {
				this.core.targetCrashes()
					.onCrash(this.world.nowNanos(), new TargetCrash(targetId, beginning, underWay));
				act(this.core.onTick(this.world.nowNanos()));
			});
		}
	}

	private void act(List<TrafficAction> actions) {
		actions.forEach(this::act);
	}

	private void act(TrafficAction action) {
		final long requestId = action.requestId();
		if (action instanceof TrafficAction.Start start) {
			send(start, this.callers.get(requestId).fingerprint());
		}
		else if (action instanceof TrafficAction.Cancel cancel) {
			final Sent sent = this.live.get(cancel.attempt());
			this.world.after(ONE_WAY_NANOS, () -> sent.target.drop(sent));
			sent.end(AttemptOutcome.CANCELLED, 0);
		}
		else if (action instanceof TrafficAction.Finish) {
			final Caller caller = this.callers.remove(requestId);
			this.world.innocentsServed += caller.isKiller() ? 0 : 1;
		}
		else if (action instanceof TrafficAction.Fail fail) {
			onFail(this.callers.remove(requestId), fail.kind());
		}
	}

	private void onFail(Caller caller, ErrorKind kind) {
		if (kind == ErrorKind.QUARANTINED && !caller.isKiller()) {
			this.world.barredInnocents.add(caller.fingerprint());
		}
		if (kind != ErrorKind.QUARANTINED && caller.repeats() > 0) {
			this.world.after(REPEAT_NANOS, () -> this.world.arrive(caller.fingerprint(), caller.repeats() - 1));
		}
	}

	private void send(TrafficAction.Start start, String fingerprint) {
		final CrashWorldTarget target = this.world.target(start.target().targetId());
		final Sent sent = new Sent(start.attempt(), target, start.resumeFromTokens());
		this.live.put(start.attempt(), sent);
		inThisLife(ONE_WAY_NANOS, () -> {
			if (target == null || !target.up() || !target.is(start.target().targetId())) {
				inThisLife(ONE_WAY_NANOS, () -> sent.end(AttemptOutcome.NOT_CONNECTED, 0));
			}
			else if (!sent.over) {
				target.run(sent, fingerprint);
			}
		});
	}

	private void inThisLife(long nanos, Runnable what) {
		final int inLife = this.life;
		this.world.after(nanos, () -> {
			if (this.running && this.life == inLife) {
				what.run();
			}
		});
	}

	private record Caller(String fingerprint, int repeats) {

		boolean isKiller() {
			return this.fingerprint.startsWith(CrashWorld.KILLER);
		}

	}

	/** An attempt that was sent to a target. */
	final class Sent {

		private final AttemptId attempt;

		private final CrashWorldTarget target;

		private final int resumedFrom;

		private boolean over;

		Sent(AttemptId attempt, CrashWorldTarget target, int resumedFrom) {
			this.attempt = attempt;
			this.target = target;
			this.resumedFrom = resumedFrom;
		}

		CrashWorldDaemon daemon() {
			return CrashWorldDaemon.this;
		}

		void progress(int events) {
			inThisLife(ONE_WAY_NANOS, () -> {
				if (!this.over) {
					CrashWorldDaemon.this.core.onProgress(CrashWorldDaemon.this.world.nowNanos(), this.attempt,
							this.resumedFrom + events);
				}
			});
		}

		void complete() {
			inThisLife(ONE_WAY_NANOS, () -> end(AttemptOutcome.COMPLETE, 0));
		}

		void broken(int events) {
			inThisLife(ONE_WAY_NANOS, () -> end(AttemptOutcome.BROKEN, events));
		}

		private void end(AttemptOutcome how, int events) {
			if (!this.over) {
				this.over = true;
				CrashWorldDaemon.this.live.remove(this.attempt);
				act(CrashWorldDaemon.this.core.onAttemptEnd(CrashWorldDaemon.this.world.nowNanos(), this.attempt, how,
						this.resumedFrom + events));
			}
		}

	}

}
