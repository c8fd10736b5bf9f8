package org.pistachioline.core.placement;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The targets of one model or service, with those apart that have room.
 * <p>
 * A decision must cost the same before 63 and before 1,600 targets, so the targets with
 * room are kept in a list of their own, in which one is added or taken out in constant
 * time; only a new view and the slow beat of the ejector look at all of them.
 * <p>
 * Where there are more daemons than a target has slots, most daemons have no part of it.
 * One that has none anywhere, or has used up all of its parts, would keep its callers
 * waiting beside idle targets: of a plain service with thirty slots two thirds of 95
 * daemons had nothing, and callers were refused while a twentieth of the slots was in
 * use. So a daemon may have some attempts beyond its parts, one at a target and an eighth
 * of its fair share in all, where it heard of nothing against it. All daemons together
 * fill the slots by an eighth too many at most, and engines queue that much.
 */
public final class TargetSet {

	private static final long REFRESH_NANOS = 200_000_000L;

	/** One attempt in so many of the fair share may go beyond this daemon's parts. */
	private static final double EXCESS_DIVISOR = 8;

	private static final long SECOND_HASH_MULTIPLIER = 0x9E3779B97F4A7C15L;

	private final StragglerEjector ejector = new StragglerEjector();

	private final boolean protectsTargets;

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

	private int daemonCount = 1;

	private long refreshedAtNanos;

	/**
	 * Creates an empty set.
	 * @param guarded whether stragglers are ejected and slots are shared with other
	 * daemons; the plain baselines do without
	 */
	public TargetSet(boolean guarded) {
		this.protectsTargets = guarded;
	}

	/**
	 * Takes over the members.
	 * @param nowNanos the monotonic time
	 * @param newMembers every target of the model or service, serving or not
	 * @param daemons the daemons that share them
	 */
	public void replace(long nowNanos, List<TargetLoad> newMembers, DaemonRank daemons) {
		if (!this.initialized) {
			// A daemon that starts finds targets that were warm before it.
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
	 * Lets time pass: limits, ejections, slow starts and old reports.
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
	 * Looks at the room of every target anew.
	 * @param nowNanos the monotonic time
	 * @param daemons the daemons that share the targets
	 */
	public void refresh(long nowNanos, DaemonRank daemons) {
		this.daemonCount = daemons.count();
		this.refreshedAtNanos = nowNanos;
		this.throttled.clear();
		int slots = 0;
		for (final TargetLoad load : this.members) {
			refresh(nowNanos, daemons, load);
			if (load.isThrottled(nowNanos)) {
				this.throttled.add(load);
			}
			slots += load.view().serving() ? load.view().slots() : 0;
		}
		this.maxExcessAttempts = this.protectsTargets
				? (int) Math.max(1, Math.round(slots / (EXCESS_DIVISOR * Math.max(1, daemons.count())))) : 0;
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
	 * Looks at the room of one target anew.
	 * @param nowNanos the monotonic time
	 * @param daemons the daemons that share the target
	 * @param load the target
	 */
	public void refresh(long nowNanos, DaemonRank daemons, TargetLoad load) {
		// A target that left the set may still have attempts in flight that end later.
		if (this.byId.get(load.view().targetId()) != load) {
			load.setEntry().reset();
			return;
		}
		final int freed = this.protectsTargets ? load.freeSlots(nowNanos, daemons) : load.freeSlots(nowNanos);
		this.freeSlots += load.setEntry().updateFreeSlots(freed);
		if (this.protectsTargets) {
			this.excessAttempts += load.setEntry().updateExcessAttempts(load.excessAttempts(nowNanos, daemons));
			this.excessCandidates.removeIf((each) -> each == load && !load.acceptsExcessAttempt(nowNanos));
		}
		updateAvailability(load, freed > 0);
	}

	private void updateAvailability(TargetLoad load, boolean room) {
		final TargetSetEntry place = load.setEntry();
		if (room && !place.isAvailable()) {
			place.setAvailableIndex(this.available.size());
			this.available.add(load);
		}
		else if (!room && place.isAvailable()) {
			final TargetLoad last = this.available.remove(this.available.size() - 1);
			if (last != load) {
				this.available.set(place.availableIndex(), last);
				last.setEntry().setAvailableIndex(place.availableIndex());
			}
			place.clearAvailableIndex();
		}
	}

	/**
	 * Returns how many attempts could start at once.
	 * @return the free slots over all targets; where this daemon's parts are used up, how
	 * many attempts may go beyond them
	 */
	public int freeSlots() {
		return (this.freeSlots > 0) ? this.freeSlots
				: Math.max(0, Math.min(this.excessCandidates.size(), this.maxExcessAttempts - this.excessAttempts));
	}

	/**
	 * Returns the targets that an attempt may go to, in no order: those where this daemon
	 * has room; where it has none, those that may take one beyond its parts.
	 * @return a view that follows the set
	 */
	public List<TargetLoad> available() {
		return usesExcessAttempts() ? this.excessCandidatesView : this.availableView;
	}

	private boolean usesExcessAttempts() {
		return this.available.isEmpty() && this.excessAttempts < this.maxExcessAttempts;
	}

	/**
	 * Returns whether an attempt may go to a target.
	 * @param load the target
	 * @return whether it is among the open ones
	 */
	boolean isAvailable(TargetLoad load) {
		return usesExcessAttempts() ? this.excessCandidates.contains(load) : load.setEntry().isAvailable();
	}

	/**
	 * Finds a target by its id.
	 * @param targetId the target
	 * @return the target, full or not; null where it is gone
	 */
	TargetLoad byId(String targetId) {
		return this.byId.get(targetId);
	}

	/**
	 * Returns one of two targets that a hash names, the same on all daemons.
	 * @param hash the hash
	 * @param second whether the second one is wanted
	 * @return the target, full or not; null where there is none
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
	 * Returns the usual time between two tokens.
	 * @return the median over the targets, in nanoseconds; 0 where it is not known
	 */
	public double medianInterTokenNanos() {
		return this.ejector.medianInterTokenNanos();
	}

	/**
	 * Returns what the targets take, where all that serve name limits or want nothing for
	 * a while.
	 * @param nowNanos the monotonic time
	 * @return what they take; empty where some target takes all that it has room for, or
	 * none serves
	 */
	public Optional<ThrottledCapacity> throttledCapacity(long nowNanos) {
		return this.throttled.isEmpty() ? Optional.empty() : ThrottledCapacity.of(nowNanos, this.members);
	}

	/**
	 * Returns all targets.
	 * @return the members
	 */
	public List<TargetLoad> members() {
		return Collections.unmodifiableList(this.members);
	}

}
