package org.pistachioline.core.placement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.pistachioline.core.traffic.AttemptOutcome;
import org.pistachioline.core.traffic.ClaimRequirement;
import org.pistachioline.core.traffic.RequestInfo;
import org.pistachioline.core.traffic.TargetKind;
import org.pistachioline.core.traffic.TargetView;

/**
 * A daemon of an {@link UnevenFleet}: places requests, keeps connections and learns the
 * load of targets from their answers.
 */
final class UnevenFleetDaemon {

	private static final long HOP_NANOS = 1_000_000L;

	private static final long FIRST_TOKEN_NANOS = 100_000_000L;

	/** The number of tokens in an event of a stream. */
	private static final int TOKENS = 5;

	private final UnevenFleet fleet;

	private final Deque<Pending> queue = new ArrayDeque<>();

	private final Map<String, Deque<Long>> idleSinceNanos = new HashMap<>();

	private final PlacementPolicy placement;

	final String zone;

	final TargetSet set;

	DaemonRank rank;

	UnevenFleetDaemon(UnevenFleet fleet, String zone, int index, int count, boolean subsets) {
		this.fleet = fleet;
		this.zone = zone;
		this.rank = new DaemonRank(index, count);
		this.placement = subsets ? new WeightedSubsetPlacement(zone, 1_000 + index)
				: new ExpectedWaitPlacement(zone, 1_000 + index, true);
		this.set = this.placement.newTargetSet();
		list();
	}

	/** Takes the list of targets over, as it is now. */
	void list() {
		final long nowNanos = this.fleet.time.nowNanos();
		final List<TargetLoad> loads = new ArrayList<>();
		for (final UnevenTarget target : this.fleet.targets) {
			final TargetLoad known = this.set.byId(target.id);
			final TargetLoad load = (known != null) ? known : new TargetLoad(target.view(false), nowNanos);
			if (known != null) {
				final boolean listed = target.listed;
				load.update(new TargetView(target.id, TargetKind.MODEL, "model", target.id, 0, target.zone, listed,
						target.slots, load.view().reportedRunning(), load.view().reportedWaiting(),
						load.view().reportedAtNanos()), nowNanos);
			}
			loads.add(load);
		}
		this.set.replace(nowNanos, loads, this.rank);
	}

	void submit(long workNanos) {
		this.fleet.requests++;
		this.queue.add(new Pending(workNanos, this.fleet.time.nowNanos(), new HashSet<>()));
		dispatch();
	}

	void onTick() {
		this.set.onTick(this.fleet.time.nowNanos(), this.rank);
		dispatch();
	}

	private void dispatch() {
		final long nowNanos = this.fleet.time.nowNanos();
		while (!this.queue.isEmpty() && this.set.freeSlots() > 0) {
			final Pending pending = this.queue.peek();
			final RequestInfo info = request(nowNanos);
			final Optional<TargetLoad> chosen = this.placement.choose(nowNanos, info, this.set, pending.tried());
			if (chosen.isEmpty()) {
				return;
			}
			this.queue.poll();
			this.fleet.waited += (nowNanos - pending.arrivedAtNanos() > 100_000_000L) ? 1 : 0;
			this.fleet.longestWaitNanos = Math.max(this.fleet.longestWaitNanos, nowNanos - pending.arrivedAtNanos());
			start(nowNanos, info, pending, chosen.get());
		}
	}

	private void start(long nowNanos, RequestInfo info, Pending pending, TargetLoad load) {
		final UnevenTarget target = this.fleet.target(load.view().targetId());
		this.fleet.newConnections += takeConnection(nowNanos, target.id) ? 0 : 1;
		this.fleet.crossZone += target.zone.equals(this.zone) ? 0 : 1;
		load.onStart(nowNanos, 100);
		this.set.refresh(nowNanos, this.rank, load);
		this.placement.onPlaced(nowNanos, info, load);
		pending.tried().add(target.id);
		this.fleet.time.after(HOP_NANOS, () -> {
			if (target.up) {
				target.run(pending.workNanos(), (nanos) -> stream(target, load, nanos));
			}
			else {
				end(load, AttemptOutcome.NOT_CONNECTED);
				this.fleet.failures++;
				this.fleet.failedTwice += (pending.tried().size() >= 2) ? 1 : 0;
				this.queue.addFirst(pending);
				dispatch();
			}
		});
	}

	private void stream(UnevenTarget target, TargetLoad load, long nanos) {
		final long endsAtNanos = this.fleet.time.nowNanos() + nanos;
		this.fleet.time.after(Math.min(nanos, FIRST_TOKEN_NANOS), () -> {
			load.update(target.view(true), this.fleet.time.nowNanos());
			onTokens(target, load, endsAtNanos, 0);
			this.set.refresh(this.fleet.time.nowNanos(), this.rank, load);
			dispatch();
		});
	}

	private void onTokens(UnevenTarget target, TargetLoad load, long endsAtNanos, long sinceNanos) {
		final long nowNanos = this.fleet.time.nowNanos();
		if (nowNanos >= endsAtNanos) {
			this.idleSinceNanos.computeIfAbsent(target.id, (id) -> new ArrayDeque<>()).addLast(nowNanos);
			end(load, AttemptOutcome.COMPLETE);
			dispatch();
			return;
		}
		load.onTokens(nowNanos, sinceNanos, TOKENS, sinceNanos == 0);
		this.fleet.time.after(target.tokenNanos(TOKENS), () -> onTokens(target, load, endsAtNanos, nowNanos));
	}

	private void end(TargetLoad load, AttemptOutcome outcome) {
		load.onEnd(this.fleet.time.nowNanos(), 100, outcome);
		this.set.refresh(this.fleet.time.nowNanos(), this.rank, load);
	}

	private boolean takeConnection(long nowNanos, String targetId) {
		final Deque<Long> idle = this.idleSinceNanos.getOrDefault(targetId, new ArrayDeque<>());
		return !idle.isEmpty() && nowNanos - idle.pollLast() < WarmConnections.KEEP_MILLIS * 1_000_000;
	}

	private static RequestInfo request(long nowNanos) {
		return new RequestInfo(1, "workspace", TargetKind.MODEL, "model", 700, 150, 0, nowNanos + 2_000_000_000L,
				nowNanos + 8_000_000_000L, true, ClaimRequirement.NONE, "", List.of(), 2, nowNanos + 2_000_000_000L);
	}

	private record Pending(long workNanos, long arrivedAtNanos, Set<String> tried) {
	}

}
