package org.pistachioline.core.limit;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;

import org.pistachioline.core.cold.ColdTarget;
import org.pistachioline.core.placement.LiveDaemons;
import org.pistachioline.core.quarantine.GossipQuarantine;
import org.pistachioline.core.retry.RetryBudget;
import org.pistachioline.core.route.ColdStart;
import org.pistachioline.core.traffic.AttemptId;
import org.pistachioline.core.traffic.AttemptOutcome;
import org.pistachioline.core.traffic.ClaimRequirement;
import org.pistachioline.core.traffic.RequestInfo;
import org.pistachioline.core.traffic.RoutingPolicies;
import org.pistachioline.core.traffic.TrafficAction;
import org.pistachioline.core.traffic.TrafficCore;

/**
 * A simulated daemon: the traffic core and an executor of its actions.
 */
final class LimitSimulationDaemon {

	private static final long ONE_WAY_NANOS = 2 * LimitSimulation.MILLI_NANOS;

	private static final long FIRST_TOKEN_DELAY_NANOS = 120 * LimitSimulation.MILLI_NANOS;

	private static final long RUN_DURATION_NANOS = 600 * LimitSimulation.MILLI_NANOS;

	private static final long SOFT_DEADLINE_NANOS = 400 * LimitSimulation.MILLI_NANOS;

	private static final long DEADLINE_NANOS = 6 * LimitSimulation.SECOND_NANOS;

	private final LimitSimulation simulation;

	private final String id;

	/** When the daemon first received each target's present limit, by instance id. */
	final Map<String, Long> limitReceivedAtNanos = new HashMap<>();

	int served;

	int rejected;

	/** Shortest retry delay given to a rejected caller. */
	long minRetryAfterMillis = Long.MAX_VALUE;

	/** Number of requests rejected after waiting for more than half of their deadline. */
	int rejectedLate;

	private final Map<Long, Long> arrivedAtNanos = new HashMap<>();

	/** Daemons on different sides do not hear of each other. */
	int side;

	/** When the daemon first joined the fleet. */
	long joinedAtNanos = -LimitSimulation.SECOND_NANOS * 60;

	private long startedAtNanos;

	private TrafficCore core;

	private int incarnation;

	private boolean running = true;

	private long stoppedAtNanos;

	private long lastRequestId;

	LimitSimulationDaemon(LimitSimulation simulation, String id) {
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

	long stoppedAtNanos() {
		return this.stoppedAtNanos;
	}

	long startedAtNanos() {
		return this.startedAtNanos;
	}

	TrafficCore core() {
		return this.core;
	}

	void stop() {
		this.running = false;
		this.stoppedAtNanos = this.simulation.nowNanos();
		this.incarnation++;
		this.limitReceivedAtNanos.clear();
	}

	void start() {
		this.running = true;
		this.core = new TrafficCore(RoutingPolicies.create("zone", this.simulation.random.nextLong(),
				new RetryBudget(0.2, 100, 10 * LimitSimulation.SECOND_NANOS), () -> 8, new GossipQuarantine()));
		this.startedAtNanos = this.simulation.nowNanos();
		declareColdStart();
		updateTargets();
	}

	/**
	 * Applies the configuration, and what other daemons tell a daemon that starts.
	 */
	void declareColdStart() {
		if (this.simulation.coldPerSecond > 0) {
			final ColdStart coldStart = new ColdStart(3_000, this.simulation.coldPerSecond);
			if (this.simulation.daemons().size() > 1) {
				this.core.targetColdness().expectPeers();
			}
			this.core.targetColdness()
				.configure(this.simulation.nowNanos(), Map.of("pool", coldStart, "pool/m", coldStart));
			this.simulation.daemons()
				.stream()
				.filter((other) -> other != this && other.running && other.side == this.side)
				.limit(1)
				.forEach((other) -> receiveCold(other.coldTargets()));
		}
	}

	List<ColdTarget> coldTargets() {
		return this.core.targetColdness().coldTargets(this.simulation.nowNanos());
	}

	void receiveCold(List<ColdTarget> told) {
		if (this.running) {
			this.core.targetColdness().onPeerTargets(this.simulation.nowNanos(), told);
		}
	}

	/**
	 * Learns from the list, an answer or a crash that a target is cold.
	 * @param index the index of the target
	 * @param tellOthers whether the daemon tells others of it at once
	 */
	void learnCold(int index, boolean tellOthers) {
		final LimitSimulationInstance instance = this.simulation.instance(index);
		if (this.running) {
			final List<ColdTarget> news = this.core.targetColdness()
				.onFound(this.simulation.nowNanos(), List.of(new ColdTarget(instance.id, instance.coldUntilNanos)));
			if (tellOthers) {
				this.simulation.broadcastCold(this, news);
			}
		}
	}

	void updateTargets() {
		this.core.targetEvacuation().onZones(this.simulation.evacuatedZones());
		apply(this.core.onTargets(this.simulation.nowNanos(), this.simulation.views()));
	}

	void tick() {
		if (this.running) {
			this.core.targetColdness().onTick(this.simulation.nowNanos());
			apply(this.core.onTick(this.simulation.nowNanos()));
		}
	}

	void updateLiveDaemons(Set<String> liveIds) {
		if (this.running) {
			apply(this.core.onShares(this.simulation.nowNanos(), LiveDaemons.of(this.id, liveIds), Map.of()));
		}
	}

	List<AdvertisedLimit> latestLimits() {
		return this.core.targetLimits().latestLimits(this.simulation.nowNanos());
	}

	/**
	 * Receives limits from another daemon.
	 * @param limits the limits
	 * @param delayNanos the transmission delay, by which limits appear newer than they
	 * are
	 */
	void receive(List<AdvertisedLimit> limits, long delayNanos) {
		if (this.running) {
			this.core.targetLimits()
				.onPeerLimits(this.simulation.nowNanos(),
						limits.stream()
							.map((limit) -> new AdvertisedLimit(limit.instanceId(), limit.requestsPerSecond(),
									limit.receivedAtNanos() + delayNanos))
							.toList());
		}
	}

	void arrive() {
		final long nowNanos = this.simulation.nowNanos();
		final long requestId = ++this.lastRequestId;
		this.arrivedAtNanos.put(requestId, nowNanos);
		apply(this.core.onRequest(nowNanos,
				new RequestInfo(requestId, "shop", this.simulation.kind(), "pool/m", 100, 60, 0,
						nowNanos + DEADLINE_NANOS, nowNanos + DEADLINE_NANOS, true, ClaimRequirement.NONE, "",
						List.of(), 2, nowNanos + SOFT_DEADLINE_NANOS)));
	}

	private void apply(List<TrafficAction> actions) {
		actions.forEach(this::apply);
	}

	private void apply(TrafficAction action) {
		if (action instanceof TrafficAction.Start start) {
			send(start);
		}
		else if (action instanceof TrafficAction.Cancel cancel) {
			apply(this.core.onAttemptEnd(this.simulation.nowNanos(), cancel.attempt(), AttemptOutcome.CANCELLED, 0));
		}
		else if (action instanceof TrafficAction.Finish finish) {
			this.arrivedAtNanos.remove(finish.requestId());
			this.served++;
		}
		else if (action instanceof TrafficAction.Fail fail) {
			this.rejected++;
			this.minRetryAfterMillis = Math.min(this.minRetryAfterMillis, fail.retryAfterMillis());
			final long waitedNanos = this.simulation.nowNanos() - this.arrivedAtNanos.remove(fail.requestId());
			this.rejectedLate += (waitedNanos > DEADLINE_NANOS / 2) ? 1 : 0;
		}
	}

	private void send(TrafficAction.Start start) {
		final long sentAtNanos = this.simulation.nowNanos();
		final LimitSimulationInstance instance = this.simulation.instance(start.target().instanceId());
		this.simulation.after(ONE_WAY_NANOS, () -> this.simulation.onArrival(this, instance, sentAtNanos));
		if (instance.backoffNanos > 0) {
			decline(start, instance);
			return;
		}
		afterUnlessRestarted(FIRST_TOKEN_DELAY_NANOS, () -> {
			final OptionalDouble limit = instance.limit;
			afterUnlessRestarted(ONE_WAY_NANOS, () -> onResponseHead(start.attempt(), instance, sentAtNanos, limit));
		});
		afterUnlessRestarted(RUN_DURATION_NANOS, () -> apply(
				this.core.onAttemptEnd(this.simulation.nowNanos(), start.attempt(), AttemptOutcome.COMPLETE, 10)));
	}

	private void decline(TrafficAction.Start start, LimitSimulationInstance instance) {
		final long backoffNanos = instance.backoffNanos;
		afterUnlessRestarted(ONE_WAY_NANOS, () -> {
			this.simulation.recordBackoff(this, instance);
			afterUnlessRestarted(ONE_WAY_NANOS, () -> {
				this.core.targetBackoffs().onBackoff(this.simulation.nowNanos(), instance.id, backoffNanos);
				apply(this.core.onAttemptEnd(this.simulation.nowNanos(), start.attempt(), AttemptOutcome.DECLINED, 0));
			});
		});
	}

	private void onResponseHead(AttemptId attempt, LimitSimulationInstance instance, long sentAtNanos,
			OptionalDouble limit) {
		if (limit.isPresent()) {
			this.limitReceivedAtNanos.putIfAbsent(instance.id, this.simulation.nowNanos());
		}
		this.core.targetLimits().onResponse(this.simulation.nowNanos(), sentAtNanos, instance.id, limit);
		if (instance.leaving) {
			instance.leavingReceivedNanos.putIfAbsent(this.id, this.simulation.nowNanos());
			this.core.targetBackoffs().onLeaving(this.simulation.nowNanos(), instance.id);
		}
		this.core.onProgress(this.simulation.nowNanos(), attempt, 1);
	}

	private void afterUnlessRestarted(long nanos, Runnable action) {
		final int scheduledIncarnation = this.incarnation;
		this.simulation.after(nanos, () -> {
			if (this.running && this.incarnation == scheduledIncarnation) {
				action.run();
			}
		});
	}

}
