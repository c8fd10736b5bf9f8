package org.pistachioline.core.placement;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The targets of one model or service, indexed by whether they have free capacity.
 * <p>
 * A decision must cost the same with 63 and with 1,600 targets. The available targets are
 * therefore kept in a list of their own with constant-time insertion and removal; only a
 * new view and the periodic refresh visit all targets.
 * <p>
 * With more daemons than a target has slots, most daemons have no share of it. A daemon
 * without any share, or with all of its shares in use, would keep its callers waiting
 * beside idle targets: for a service with thirty slots and 95 daemons, two thirds of the
 * daemons had no share, and callers were refused while a twentieth of the slots was in
 * use. A daemon may therefore have some attempts beyond its shares: one for each target
 * and an eighth of its fair share in all, where no report or failure speaks against it.
 * All daemons together exceed the slots by at most an eighth, which the engines queue.
 */
public final class TargetSet {

	private static final long REFRESH_NANOS = 200_000_000L;

	/** One attempt in this many of the fair share may exceed this daemon's shares. */
	private static final double EXCESS_DIVISOR = 8;

	private static final long SECOND_HASH_MULTIPLIER = 0x9E3779B97F4A7C15L;

	private final StragglerEjector ejector = new StragglerEjector();

	private final boolean protectsTargets;

	/** Null where this daemon shares all targets equally with all others. */
	private final TargetSubset subset;

	private final List<TargetLoad> available = new ArrayList<>();

	private final List<TargetLoad> availableView = Collections.unmodifiableList(this.available);

	private final List<TargetLoad> excessCandidates = new ArrayList<>();

	private final List<TargetLoad> excessCandidatesView = Collections.unmodifiableList(this.excessCandidates);

	private final List<TargetLoad> throttled = new ArrayList<>();

	private final Map<String, TargetLoad> byId = new HashMap<>();

	private List<TargetLoad> members = List.of();

	private boolean initialized;

	private int freeSlots;

	private int excessAttempts;

	private int maxExcessAttempts;

	private int servingSlots;

	private int unusedSlots;

	private int daemonCount = 1;

	private long refreshedAtNanos;

	/**
	 * Creates an empty set.
	 * @param protectsTargets whether stragglers are ejected and slots are shared with
	 * other daemons; false for the plain baselines
	 */
	public TargetSet(boolean protectsTargets) {
		this.protectsTargets = protectsTargets;
		this.subset = null;
	}

	/**
	 * Creates an empty set whose slots are shared by subsets: this daemon's share of them
	 * is divided over the targets of its subset.
	 * @param subset the subset, which this set keeps up to date
	 */
	TargetSet(TargetSubset subset) {
		this.protectsTargets = true;
		this.subset = subset;
	}

	/**
	 * Replaces the members of the set.
	 * @param nowNanos the monotonic time
	 * @param newMembers all targets of the model or service, serving or not
	 * @param daemons the daemons that share them
	 */
	public void replace(long nowNanos, List<TargetLoad> newMembers, DaemonRank daemons) {
		if (!this.initialized) {
			// The targets that a starting daemon finds were warm before it started.
			newMembers.forEach(TargetLoad::skipSlowStart);
			this.initialized = true;
		}
		this.members.forEach((load) -> load.setEntry().reset());
		this.available.clear();
		this.freeSlots = 0;
		this.excessAttempts = 0;
		this.byId.clear();
		this.members = newMembers;
		newMembers.forEach((load) -> this.byId.put(load.view().targetId(), load));
		refresh(nowNanos, daemons);
	}

	/**
	 * Applies the passage of time to limits, ejections, slow starts and the age of
	 * reports.
	 * @param nowNanos the monotonic time
	 * @param daemons the daemons that share the targets
	 */
	public void onTick(long nowNanos, DaemonRank daemons) {
		if (nowNanos - this.refreshedAtNanos >= REFRESH_NANOS) {
			if (this.protectsTargets) {
				this.ejector.eject(nowNanos, this.members);
			}
			refresh(nowNanos, daemons);
		}
		else {
			this.throttled.forEach((load) -> refresh(nowNanos, daemons, load));
		}
	}

	/**
	 * Recomputes the free capacity of all targets.
	 * @param nowNanos the monotonic time
	 * @param daemons the daemons that share the targets
	 */
	public void refresh(long nowNanos, DaemonRank daemons) {
		this.daemonCount = daemons.count();
		if (this.subset != null) {
			this.subset.update(this.members, daemons);
		}
		this.refreshedAtNanos = nowNanos;
		this.throttled.clear();
		int slots = 0;
		int unused = 0;
		for (final TargetLoad load : this.members) {
			refresh(nowNanos, daemons, load);
			if (load.isThrottled(nowNanos)) {
				this.throttled.add(load);
			}
			slots += load.view().serving() ? load.view().slots() : 0;
			unused += load.reportedUnusedSlots(nowNanos);
		}
		this.servingSlots = slots;
		this.unusedSlots = unused;
		this.maxExcessAttempts = this.protectsTargets
				? (int) Math.max(1, Math.round(slots / (EXCESS_DIVISOR * Math.max(1, daemons.count())))) : 0;
		if (this.subset != null && this.subset.isReportedFull(nowNanos)) {
			this.maxExcessAttempts += this.subset.size();
		}
		collectExcessCandidates(nowNanos);
	}

	private void collectExcessCandidates(long nowNanos) {
		this.excessCandidates.clear();
		if (!this.protectsTargets) {
			return;
		}
		for (final TargetLoad load : this.members) {
			if (!load.setEntry().isAvailable() && load.acceptsExcessAttempt(nowNanos)) {
				this.excessCandidates.add(load);
			}
		}
	}

	/**
	 * Recomputes the free capacity of one target.
	 * @param nowNanos the monotonic time
	 * @param daemons the daemons that share the target
	 * @param load the target
	 */
	public void refresh(long nowNanos, DaemonRank daemons, TargetLoad load) {
		// A target that was removed may still have attempts in flight, which end later.
		if (this.byId.get(load.view().targetId()) != load) {
			load.setEntry().reset();
			return;
		}
		final int share = shareOf(load, daemons);
		final int freeSlots = this.protectsTargets ? load.freeSlots(nowNanos, share) : load.unsharedFreeSlots(nowNanos);
		this.freeSlots += load.setEntry().updateFreeSlots(freeSlots);
		if (this.protectsTargets) {
			// Attempts that were within the limit of a target of the subset when they
			// started must not keep later ones from leaving the subset.
			final boolean counts = this.subset == null || (share == 0 && !load.hasReportedRoom(nowNanos));
			this.excessAttempts += load.setEntry()
				.updateExcessAttempts(counts ? load.excessAttempts(nowNanos, share) : 0);
			this.excessCandidates.removeIf((each) -> each == load && !load.acceptsExcessAttempt(nowNanos));
		}
		updateAvailability(load, freeSlots > 0);
	}

	private int shareOf(TargetLoad load, DaemonRank daemons) {
		return (this.subset != null) ? this.subset.share(load)
				: daemons.equalShare(load.view().slots(), load.view().targetId());
	}

	private void updateAvailability(TargetLoad load, boolean hasFreeSlots) {
		final TargetSetEntry entry = load.setEntry();
		if (hasFreeSlots && !entry.isAvailable()) {
			entry.setAvailableIndex(this.available.size());
			this.available.add(load);
		}
		else if (!hasFreeSlots && entry.isAvailable()) {
			final TargetLoad last = this.available.remove(this.available.size() - 1);
			if (last != load) {
				this.available.set(entry.availableIndex(), last);
				last.setEntry().setAvailableIndex(entry.availableIndex());
			}
			entry.clearAvailableIndex();
		}
	}

	/**
	 * Returns how many attempts this daemon may start at once.
	 * @return the free slots of all targets; where its shares are used up, the number of
	 * attempts allowed beyond them
	 */
	public int freeSlots() {
		return (this.freeSlots > 0) ? this.freeSlots
				: Math.max(0, Math.min(this.excessCandidates.size(), this.maxExcessAttempts - this.excessAttempts));
	}

	/**
	 * Returns how many requests the serving targets run at once, for all daemons
	 * together.
	 * @return the number of slots, used or not
	 */
	public int servingSlots() {
		return this.servingSlots;
	}

	/**
	 * Returns how many slots of the serving targets are unused by their last reports.
	 * @return the number of slots
	 */
	public int unusedSlots() {
		return this.unusedSlots;
	}

	/**
	 * Returns the targets that an attempt may be sent to, in no order: those with free
	 * slots in this daemon's share or, where there are none, those that accept an attempt
	 * beyond it.
	 * @return a live view
	 */
	public List<TargetLoad> available() {
		return usesExcessAttempts() ? this.excessCandidatesView : this.availableView;
	}

	private boolean usesExcessAttempts() {
		return this.available.isEmpty() && this.excessAttempts < this.maxExcessAttempts;
	}

	/**
	 * Returns the targets beyond this daemon's shares that an attempt may be sent to
	 * although there are free slots in its shares, for requests that none of those suits.
	 * @return a live view; empty unless the slots are shared by subsets
	 */
	public List<TargetLoad> beyondShares() {
		return (this.subset != null && this.excessAttempts < this.maxExcessAttempts) ? this.excessCandidatesView
				: List.of();
	}

	/**
	 * Returns the targets that this daemon prefers.
	 * @return their ids in order of preference; empty where all are shared equally
	 */
	public List<String> subsetTargetIds() {
		return (this.subset != null) ? this.subset.targetIds() : List.of();
	}

	/**
	 * Returns the subset by which the slots are shared.
	 * @return the subset; null where all targets are shared equally
	 */
	TargetSubset subset() {
		return this.subset;
	}

	/**
	 * Returns whether an attempt may be sent to a target.
	 * @param load the target
	 * @return whether it is among the available targets
	 */
	boolean isAvailable(TargetLoad load) {
		return usesExcessAttempts() ? this.excessCandidates.contains(load) : load.setEntry().isAvailable();
	}

	/**
	 * Finds a target by its id.
	 * @param targetId the target
	 * @return the target, full or not; null where it is not in the set
	 */
	TargetLoad byId(String targetId) {
		return this.byId.get(targetId);
	}

	/**
	 * Returns one of the two targets that a hash selects, which are the same on all
	 * daemons.
	 * @param hash the hash
	 * @param second whether the second target is requested
	 * @return the target, full or not; null where the set is empty
	 */
	TargetLoad byHash(long hash, boolean second) {
		if (this.members.isEmpty()) {
			return null;
		}
		final long mixed = second ? Long.rotateLeft(hash, Integer.SIZE) * SECOND_HASH_MULTIPLIER : hash;
		return this.members.get((int) Long.remainderUnsigned(mixed, this.members.size()));
	}

	int daemonCount() {
		return this.daemonCount;
	}

	/**
	 * Returns the median time between two tokens over the targets.
	 * @return the time, in nanoseconds; 0 where it is not known
	 */
	public double medianInterTokenNanos() {
		return this.ejector.medianInterTokenNanos();
	}

	/**
	 * Returns the capacity of the targets, where all serving ones have a limit or are in
	 * backoff.
	 * @param nowNanos the monotonic time
	 * @return the capacity; empty where a serving target is not throttled, or where none
	 * serves
	 */
	public Optional<ThrottledCapacity> throttledCapacity(long nowNanos) {
		return this.throttled.isEmpty() ? Optional.empty() : ThrottledCapacity.of(nowNanos, this.members);
	}

	/**
	 * Returns all targets, serving or not.
	 * @return a read-only view
	 */
	public List<TargetLoad> members() {
		return Collections.unmodifiableList(this.members);
	}

}
