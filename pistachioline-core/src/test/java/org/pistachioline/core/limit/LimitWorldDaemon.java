package org.pistachioline.core.limit;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;

import org.pistachioline.core.placement.LiveDaemons;
import org.pistachioline.core.quarantine.SharedDeaths;
import org.pistachioline.core.retry.RetryBudget;
import org.pistachioline.core.traffic.AttemptId;
import org.pistachioline.core.traffic.AttemptOutcome;
import org.pistachioline.core.traffic.ClaimRequirement;
import org.pistachioline.core.traffic.RequestInfo;
import org.pistachioline.core.traffic.RoutingPolicies;
import org.pistachioline.core.traffic.TrafficAction;
import org.pistachioline.core.traffic.TrafficCore;

/**
 * One daemon of a {@link LimitWorld}: the decision core, and what carries out its
 * actions.
 */
final class LimitWorldDaemon {

	private static final long ONE_WAY_NANOS = 2 * LimitWorld.MILLI_NANOS;

	private static final long FIRST_TOKEN_NANOS = 120 * LimitWorld.MILLI_NANOS;

	private static final long RUN_NANOS = 600 * LimitWorld.MILLI_NANOS;

	private static final long AIM_NANOS = 400 * LimitWorld.MILLI_NANOS;

	private static final long DEADLINE_NANOS = 6 * LimitWorld.SECOND_NANOS;

	private final LimitWorld world;

	private final String id;

	/** When it first heard of the limit of each target that names one. */
	final Map<String, Long> toldAtNanos = new HashMap<>();

	int served;

	int refused;

	/** The soonest that any caller who was refused was told to come back. */
	long leastRetryMillis = Long.MAX_VALUE;

	/** Requests that were refused though they had waited for most of their time. */
	int refusedLate;

	private final Map<Long, Long> arrivedAtNanos = new HashMap<>();

	private TrafficCore core;

	private int life;

	private boolean running = true;

	private long stoppedAtNanos;

	private long requests;

	LimitWorldDaemon(LimitWorld world, String id) {
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

	long stoppedAtNanos() {
		return this.stoppedAtNanos;
	}

	TrafficCore core() {
		return this.core;
	}

	void stop() {
		this.running = false;
		this.stoppedAtNanos = this.world.nowNanos();
		this.life++;
		this.toldAtNanos.clear();
	}

	void start() {
		this.running = true;
		this.core = new TrafficCore(RoutingPolicies.create("zone", this.world.random.nextLong(),
				new RetryBudget(0.2, 100, 10 * LimitWorld.SECOND_NANOS), () -> 8, new SharedDeaths()));
		list();
	}

	void list() {
		act(this.core.onTargets(this.world.nowNanos(), this.world.views()));
	}

	void tick() {
		if (this.running) {
			act(this.core.onTick(this.world.nowNanos()));
		}
	}

	void live(Set<String> liveIds) {
		if (this.running) {
			act(this.core.onShares(this.world.nowNanos(), LiveDaemons.of(this.id, liveIds), Map.of()));
		}
	}

	List<StatedLimit> stated() {
		return this.core.targetLimits().latestLimits(this.world.nowNanos());
	}

	/**
	 * Takes what a heartbeat tells.
	 * @param stated what it tells
	 * @param delayNanos how long the frame took, by which they look newer than they are
	 */
	void hear(List<StatedLimit> stated, long delayNanos) {
		if (this.running) {
			this.core.targetLimits()
				.onPeerLimits(this.world.nowNanos(),
						stated.stream()
							.map((heard) -> new StatedLimit(heard.instanceId(), heard.requestsPerSecond(),
									heard.heardAtNanos() + delayNanos))
							.toList());
		}
	}

	void arrive() {
		final long nowNanos = this.world.nowNanos();
		final long requestId = ++this.requests;
		this.arrivedAtNanos.put(requestId, nowNanos);
		act(this.core.onRequest(nowNanos,
				new RequestInfo(requestId, "shop", this.world.kind(), "pool/m", 100, 60, 0, nowNanos + DEADLINE_NANOS,
						nowNanos + DEADLINE_NANOS, true, ClaimRequirement.NONE, "", List.of(), 2,
						nowNanos + AIM_NANOS)));
	}

	private void act(List<TrafficAction> actions) {
		actions.forEach(this::act);
	}

	private void act(TrafficAction action) {
		if (action instanceof TrafficAction.Start start) {
			send(start);
		}
		else if (action instanceof TrafficAction.Cancel cancel) {
			act(this.core.onAttemptEnd(this.world.nowNanos(), cancel.attempt(), AttemptOutcome.CANCELLED, 0));
		}
		else if (action instanceof TrafficAction.Finish finish) {
			this.arrivedAtNanos.remove(finish.requestId());
			this.served++;
		}
		else if (action instanceof TrafficAction.Fail fail) {
			this.refused++;
			this.leastRetryMillis = Math.min(this.leastRetryMillis, fail.retryAfterMillis());
			final long heldNanos = this.world.nowNanos() - this.arrivedAtNanos.remove(fail.requestId());
			this.refusedLate += (heldNanos > DEADLINE_NANOS / 2) ? 1 : 0;
		}
	}

	private void send(TrafficAction.Start start) {
		final long sentAtNanos = this.world.nowNanos();
		final LimitedEngine engine = this.world.engine(start.target().instanceId());
		this.world.after(ONE_WAY_NANOS, () -> this.world.onArrival(this, engine));
		if (engine.restNanos > 0) {
			turnedAway(start, engine);
			return;
		}
		inThisLife(FIRST_TOKEN_NANOS, () -> {
			final OptionalDouble limit = engine.limit;
			inThisLife(ONE_WAY_NANOS, () -> onHead(start.attempt(), engine, sentAtNanos, limit));
		});
		inThisLife(RUN_NANOS,
				() -> act(this.core.onAttemptEnd(this.world.nowNanos(), start.attempt(), AttemptOutcome.COMPLETE, 10)));
	}

	private void turnedAway(TrafficAction.Start start, LimitedEngine engine) {
		final long restNanos = engine.restNanos;
		inThisLife(ONE_WAY_NANOS, () -> {
			this.world.askForRest(this, engine);
			inThisLife(ONE_WAY_NANOS, () -> {
				this.core.targetBackoffs().onBackoff(this.world.nowNanos(), engine.id, restNanos);
				act(this.core.onAttemptEnd(this.world.nowNanos(), start.attempt(), AttemptOutcome.DECLINED, 0));
			});
		});
	}

	private void onHead(AttemptId attempt, LimitedEngine engine, long sentAtNanos, OptionalDouble limit) {
		if (limit.isPresent()) {
			this.toldAtNanos.putIfAbsent(engine.id, this.world.nowNanos());
		}
		this.core.targetLimits().onResponse(this.world.nowNanos(), sentAtNanos, engine.id, limit);
		if (engine.leaving) {
			engine.leavingToldNanos.putIfAbsent(this.id, this.world.nowNanos());
			this.core.targetBackoffs().onLeaving(this.world.nowNanos(), engine.id);
		}
		this.core.onProgress(this.world.nowNanos(), attempt, 1);
	}

	private void inThisLife(long nanos, Runnable what) {
		final int inLife = this.life;
		this.world.after(nanos, () -> {
			if (this.running && this.life == inLife) {
				what.run();
			}
		});
	}

}
