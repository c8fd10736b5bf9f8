package org.pistachioline.core.limit;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;

import org.pistachioline.core.placement.LiveDaemons;
import org.pistachioline.core.quarantine.GossipQuarantine;
import org.pistachioline.core.retry.RetryBudget;
import org.pistachioline.core.traffic.AttemptId;
import org.pistachioline.core.traffic.AttemptOutcome;
import org.pistachioline.core.traffic.ClaimRequirement;
import org.pistachioline.core.traffic.RequestInfo;
import org.pistachioline.core.traffic.RoutingPolicies;
import org.pistachioline.core.traffic.TrafficAction;
import org.pistachioline.core.traffic.TrafficCore;

/**
 * One daemon of a {@link LimitSimulation}: the decision core, and what carries out its
 * actions.
 */
final class LimitSimulationDaemon {

	private static final long ONE_WAY_NANOS = 2 * LimitSimulation.MILLI_NANOS;

	private static final long FIRST_TOKEN_DELAY_NANOS = 120 * LimitSimulation.MILLI_NANOS;

	private static final long RUN_DURATION_NANOS = 600 * LimitSimulation.MILLI_NANOS;

	private static final long SOFT_DEADLINE_NANOS = 400 * LimitSimulation.MILLI_NANOS;

	private static final long DEADLINE_NANOS = 6 * LimitSimulation.SECOND_NANOS;

	private final LimitSimulation world;

	private final String id;

	/** When it first heard of the limit of each target that names one. */
	final Map<String, Long> limitReceivedAtNanos = new HashMap<>();

	int served;

	int rejected;

	/** The soonest that any caller who was refused was told to come back. */
	long minRetryAfterMillis = Long.MAX_VALUE;

	/** Requests that were refused though they had waited for most of their time. */
	int rejectedLate;

	private final Map<Long, Long> arrivedAtNanos = new HashMap<>();

	private TrafficCore core;

	private int incarnation;

	private boolean running = true;

	private long stoppedAtNanos;

	private long lastRequestId;

	LimitSimulationDaemon(LimitSimulation world, String id) {
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
		this.incarnation++;
		this.limitReceivedAtNanos.clear();
	}

	void start() {
		this.running = true;
		this.core = new TrafficCore(RoutingPolicies.create("zone", this.world.random.nextLong(),
				new RetryBudget(0.2, 100, 10 * LimitSimulation.SECOND_NANOS), () -> 8, new GossipQuarantine()));
		updateTargets();
	}

	void updateTargets() {
		apply(this.core.onTargets(this.world.nowNanos(), this.world.views()));
	}

	void tick() {
		if (this.running) {
			apply(this.core.onTick(this.world.nowNanos()));
		}
	}

	void updateLiveDaemons(Set<String> liveIds) {
		if (this.running) {
			apply(this.core.onShares(this.world.nowNanos(), LiveDaemons.of(this.id, liveIds), Map.of()));
		}
	}

	List<AdvertisedLimit> latestLimits() {
		return this.core.targetLimits().latestLimits(this.world.nowNanos());
	}

	/**
	 * Takes what a heartbeat tells.
	 * @param stated what it tells
	 * @param delayNanos how long the frame took, by which they look newer than they are
	 */
	void receive(List<AdvertisedLimit> stated, long delayNanos) {
		if (this.running) {
			this.core.targetLimits()
				.onPeerLimits(this.world.nowNanos(),
						stated.stream()
							.map((heard) -> new AdvertisedLimit(heard.instanceId(), heard.requestsPerSecond(),
									heard.receivedAtNanos() + delayNanos))
							.toList());
		}
	}

	void arrive() {
		final long nowNanos = this.world.nowNanos();
		final long requestId = ++this.lastRequestId;
		this.arrivedAtNanos.put(requestId, nowNanos);
		apply(this.core.onRequest(nowNanos,
				new RequestInfo(requestId, "shop", this.world.kind(), "pool/m", 100, 60, 0, nowNanos + DEADLINE_NANOS,
						nowNanos + DEADLINE_NANOS, true, ClaimRequirement.NONE, "", List.of(), 2,
						nowNanos + SOFT_DEADLINE_NANOS)));
	}

	private void apply(List<TrafficAction> actions) {
		actions.forEach(this::apply);
	}

	private void apply(TrafficAction action) {
		if (action instanceof TrafficAction.Start start) {
			send(start);
		}
		else if (action instanceof TrafficAction.Cancel cancel) {
			apply(this.core.onAttemptEnd(this.world.nowNanos(), cancel.attempt(), AttemptOutcome.CANCELLED, 0));
		}
		else if (action instanceof TrafficAction.Finish finish) {
			this.arrivedAtNanos.remove(finish.requestId());
			this.served++;
		}
		else if (action instanceof TrafficAction.Fail fail) {
			this.rejected++;
			this.minRetryAfterMillis = Math.min(this.minRetryAfterMillis, fail.retryAfterMillis());
			final long heldNanos = this.world.nowNanos() - this.arrivedAtNanos.remove(fail.requestId());
			this.rejectedLate += (heldNanos > DEADLINE_NANOS / 2) ? 1 : 0;
		}
	}

	private void send(TrafficAction.Start start) {
		final long sentAtNanos = this.world.nowNanos();
		final LimitSimulationInstance engine = this.world.instance(start.target().instanceId());
		this.world.after(ONE_WAY_NANOS, () -> this.world.onArrival(this, engine));
		if (engine.backoffNanos > 0) {
			decline(start, engine);
			return;
		}
		afterUnlessRestarted(FIRST_TOKEN_DELAY_NANOS, () -> {
			final OptionalDouble limit = engine.limit;
			afterUnlessRestarted(ONE_WAY_NANOS, () -> onResponseHead(start.attempt(), engine, sentAtNanos, limit));
		});
		afterUnlessRestarted(RUN_DURATION_NANOS, () -> apply(
				this.core.onAttemptEnd(this.world.nowNanos(), start.attempt(), AttemptOutcome.COMPLETE, 10)));
	}

	private void decline(TrafficAction.Start start, LimitSimulationInstance engine) {
		final long restNanos = engine.backoffNanos;
		afterUnlessRestarted(ONE_WAY_NANOS, () -> {
			this.world.recordBackoff(this, engine);
			afterUnlessRestarted(ONE_WAY_NANOS, () -> {
				this.core.targetBackoffs().onBackoff(this.world.nowNanos(), engine.id, restNanos);
				apply(this.core.onAttemptEnd(this.world.nowNanos(), start.attempt(), AttemptOutcome.DECLINED, 0));
			});
		});
	}

	private void onResponseHead(AttemptId attempt, LimitSimulationInstance engine, long sentAtNanos,
			OptionalDouble limit) {
		if (limit.isPresent()) {
			this.limitReceivedAtNanos.putIfAbsent(engine.id, this.world.nowNanos());
		}
		this.core.targetLimits().onResponse(this.world.nowNanos(), sentAtNanos, engine.id, limit);
		if (engine.leaving) {
			engine.leavingReceivedNanos.putIfAbsent(this.id, this.world.nowNanos());
			this.core.targetBackoffs().onLeaving(this.world.nowNanos(), engine.id);
		}
		this.core.onProgress(this.world.nowNanos(), attempt, 1);
	}

	private void afterUnlessRestarted(long nanos, Runnable what) {
		final int inLife = this.incarnation;
		this.world.after(nanos, () -> {
			if (this.running && this.incarnation == inLife) {
				what.run();
			}
		});
	}

}
