package org.pistachioline.core.traffic;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.Set;
import java.util.stream.Collectors;

import org.pistachioline.core.admission.SlotCounts;
import org.pistachioline.core.backoff.BackoffRegistry;
import org.pistachioline.core.limit.AdvertisedLimit;
import org.pistachioline.core.limit.LimitRegistry;
import org.pistachioline.core.placement.DaemonRank;
import org.pistachioline.core.placement.LiveDaemons;
import org.pistachioline.core.placement.PlacementPolicy;
import org.pistachioline.core.placement.PlacementReport;
import org.pistachioline.core.placement.SubsetReport;
import org.pistachioline.core.placement.TargetLoad;
import org.pistachioline.core.placement.TargetSet;

/**
 * Holds all targets that this daemon knows, grouped by model or service, with the load
 * that this daemon places on each.
 */
final class TargetRegistry implements SlotCounts {

	private static final String SERVICE_PREFIX = "service:";

	private final PlacementPolicy placement;

	private final Map<String, TargetLoad> loads = new HashMap<>();

	private final Map<String, TargetSet> setsByName = new HashMap<>();

	private final Map<String, Long> notServingSinceNanos = new HashMap<>();

	private final LimitRegistry limits = new LimitRegistry();

	private final BackoffRegistry backoffs = new BackoffRegistry();

	private DaemonRank daemonRank = DaemonRank.ALONE;

	private List<TargetView> lastViews = List.of();

	TargetRegistry(PlacementPolicy placement) {
		this.placement = placement;
	}

	void update(long nowNanos, List<TargetView> newViews) {
		this.lastViews = newViews;
		final List<TargetView> views = newViews.stream().map(this::withLeavingState).toList();
		this.limits.cold().onTargets(nowNanos, views);
		final Map<String, TargetLoad> next = new HashMap<>();
		final Map<String, List<TargetLoad>> byName = new HashMap<>();
		for (final TargetView view : views) {
			final TargetLoad load = loadOf(nowNanos, view);
			next.put(view.targetId(), load);
			byName.computeIfAbsent(nameKey(view.kind(), view.name()), (key) -> new ArrayList<>()).add(load);
		}
		retainBusyTargets(next);
		this.loads.clear();
		this.loads.putAll(next);
		replaceSets(nowNanos, byName);
		updateNotServingSince(nowNanos, views);
		final Set<String> instanceIds = next.values()
			.stream()
			.map((load) -> load.view().instanceId())
			.collect(Collectors.toSet());
		this.limits.retain(nowNanos, instanceIds);
		this.backoffs.retain(nowNanos, instanceIds);
	}

	// A target that has announced its shutdown accepts no new requests, even if the list
	// still shows it as serving.
	private TargetView withLeavingState(TargetView view) {
		return this.backoffs.isLeaving(view.instanceId()) ? view.asNotServing() : view;
	}

	private TargetLoad loadOf(long nowNanos, TargetView view) {
		final TargetLoad known = this.loads.get(view.targetId());
		if (known == null) {
			final TargetLoad added = new TargetLoad(view, nowNanos, this.limits.getOrCreate(view.instanceId()),
					this.backoffs.getOrCreate(view.instanceId()));
			if (view.kind() == TargetKind.MODEL && this.placement.newGroupsSkipSlowStart()) {
				added.skipSlowStart();
			}
			return added;
		}
		known.update(view, nowNanos);
		return known;
	}

	// A target may be missing from the list for a while, although attempts are in flight
	// there. If it came back with a count of zero, it would be sent more requests than it
	// has slots.
	private void retainBusyTargets(Map<String, TargetLoad> next) {
		this.loads.forEach((targetId, load) -> {
			if (load.inFlight() > 0) {
				next.putIfAbsent(targetId, load);
			}
			else if (!next.containsKey(targetId)) {
				this.placement.removeTarget(targetId);
			}
		});
	}

	private void replaceSets(long nowNanos, Map<String, List<TargetLoad>> byName) {
		this.setsByName.entrySet().removeIf((entry) -> {
			final boolean gone = !byName.containsKey(entry.getKey());
			if (gone) {
				entry.getValue().replace(nowNanos, List.of(), this.daemonRank);
			}
			return gone;
		});
		byName.forEach((name, members) -> this.setsByName.computeIfAbsent(name, (key) -> this.placement.newTargetSet())
			.replace(nowNanos, members, this.daemonRank));
	}

	private void updateNotServingSince(long nowNanos, List<TargetView> views) {
		this.notServingSinceNanos.keySet().retainAll(this.loads.keySet());
		this.loads.keySet().forEach((targetId) -> this.notServingSinceNanos.putIfAbsent(targetId, nowNanos));
		views.stream().filter(TargetView::serving).forEach((view) -> this.notServingSinceNanos.remove(view.targetId()));
	}

	void onLiveDaemons(long nowNanos, LiveDaemons live) {
		this.limits.onLiveDaemons(nowNanos, live);
		this.daemonRank = live.rank();
		refresh(nowNanos);
	}

	boolean onLimit(long nowNanos, long sentAtNanos, String instanceId, OptionalDouble requestsPerSecond) {
		final boolean changed = this.limits.onResponse(nowNanos, sentAtNanos, instanceId, requestsPerSecond);
		if (changed) {
			refresh(nowNanos);
		}
		return changed;
	}

	List<AdvertisedLimit> onPeerLimits(long nowNanos, List<AdvertisedLimit> reported) {
		final List<AdvertisedLimit> changed = this.limits.onPeerLimits(nowNanos, reported);
		if (!changed.isEmpty()) {
			refresh(nowNanos);
		}
		return changed;
	}

	boolean onBackoff(long nowNanos, String instanceId, long forNanos) {
		final boolean changed = this.backoffs.onBackoff(nowNanos, instanceId, forNanos);
		if (changed) {
			refresh(nowNanos);
		}
		return changed;
	}

	boolean onLeaving(long nowNanos, String instanceId) {
		final boolean changed = this.backoffs.onLeaving(instanceId);
		if (changed) {
			update(nowNanos, this.lastViews);
		}
		return changed;
	}

	void refresh(long nowNanos) {
		this.setsByName.values().forEach((set) -> set.refresh(nowNanos, this.daemonRank));
	}

	void onTick(long nowNanos) {
		this.setsByName.values().forEach((set) -> set.onTick(nowNanos, this.daemonRank));
	}

	void refresh(long nowNanos, RequestInfo info, TargetLoad load) {
		final TargetSet set = targetSet(info);
		if (set != null) {
			set.refresh(nowNanos, this.daemonRank, load);
		}
	}

	BackoffRegistry backoffs() {
		return this.backoffs;
	}

	LimitRegistry limits() {
		return this.limits;
	}

	boolean isKnown(String targetId) {
		return this.loads.containsKey(targetId);
	}

	boolean hasTargetSet(RequestInfo info) {
		return targetSet(info) != null;
	}

	Long notServingSinceNanos(String targetId) {
		return this.notServingSinceNanos.get(targetId);
	}

	/**
	 * Returns the placement of this daemon's attempts, for operators.
	 * @return the report
	 */
	PlacementReport placementReport() {
		final List<SubsetReport> subsets = new ArrayList<>();
		this.setsByName.forEach((name, set) -> {
			if (!set.subsetTargetIds().isEmpty()) {
				subsets.add(new SubsetReport(name, set.subsetTargetIds()));
			}
		});
		return new PlacementReport(this.placement.counts(), subsets);
	}

	/**
	 * Returns the targets of a request's model or service.
	 * @param info the request
	 * @return the set; null if no target is listed for the model or service
	 */
	TargetSet targetSet(RequestInfo info) {
		return this.setsByName.get(nameKey(info.targetKind(), info.name()));
	}

	boolean hasPacedTargets(long nowNanos) {
		return this.setsByName.values().stream().anyMatch((set) -> set.throttledCapacity(nowNanos).isPresent());
	}

	int freeSlots(RequestInfo info) {
		final TargetSet set = targetSet(info);
		// Slots count even for a suspect that no target may run yet: it then moves on to
		// the redispatch queue, whereas at the head of the admission queue it would block
		// all requests behind it.
		return (set != null) ? set.freeSlots() : 0;
	}

	@Override
	public int servingSlots(RequestInfo info) {
		final TargetSet set = targetSet(info);
		return (set != null) ? set.servingSlots() : 0;
	}

	@Override
	public int unusedSlots(RequestInfo info) {
		final TargetSet set = targetSet(info);
		return (set != null) ? set.unusedSlots() : 0;
	}

	List<TargetLoad> availableTargets(RequestInfo info) {
		final TargetSet set = targetSet(info);
		return (set != null) ? set.available() : List.of();
	}

	List<TargetLoad> targetsBeyondShares(RequestInfo info) {
		final TargetSet set = targetSet(info);
		return (set != null) ? set.beyondShares() : List.of();
	}

	List<TargetLoad> allTargets(RequestInfo info) {
		final TargetSet set = targetSet(info);
		return (set != null) ? set.members() : List.of();
	}

	private static String nameKey(TargetKind kind, String name) {
		return (kind == TargetKind.MODEL) ? name : SERVICE_PREFIX + name;
	}

}
