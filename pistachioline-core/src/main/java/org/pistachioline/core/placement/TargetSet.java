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
	private static final double BEYOND_PART = 8;

	private static final long SECOND_HASH = 0x9E3779B97F4A7C15L;

	private final StragglerEjector ejector = new StragglerEjector();

	private final boolean guarded;

	private final List<TargetLoad> open = new ArrayList<>();

	private final List<TargetLoad> openView = Collections.unmodifiableList(this.open);

	private final List<TargetLoad> spare = new ArrayList<>();

	private final List<TargetLoad> spareView = Collections.unmodifiableList(this.spare);

	private final List<TargetLoad> paced = new ArrayList<>();

	private final Map<String, TargetLoad> byId = new HashMap<>();

	private List<TargetLoad> members = List.of();

	private boolean filled;

	private int freeSlots;

	private int beyond;

	private int mostBeyond;

	private int daemonCount = 1;

	private long refreshedAtNanos;

	/**
	 * Creates an empty set.
	 * @param guarded whether stragglers are ejected and slots are shared with other
	 * daemons; the plain baselines do without
	 */
	public TargetSet(boolean guarded) {
		this.guarded = guarded;
	}

	/**
	 * Takes over the members.
	 * @param nowNanos the monotonic time
	 * @param newMembers every target of the model or service, serving or not
	 * @param daemons the daemons that share them
	 */
	public void replace(long nowNanos, List<TargetLoad> newMembers, DaemonRank daemons) {
		if (!this.filled) {
			// A daemon that starts finds targets that were warm before it.
			newMembers.forEach(TargetLoad::warm);
			this.filled = true;
		}
		this.members.forEach((load) -> load.place().leave());
		this.open.clear();
		this.freeSlots = 0;
		this.beyond = 0;
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
			if (this.guarded) {
				this.ejector.eject(nowNanos, this.members);
			}
			refresh(nowNanos, daemons);
		}
		else {
			this.paced.forEach((load) -> refresh(nowNanos, daemons, load));
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
		this.paced.clear();
		int slots = 0;
		for (final TargetLoad load : this.members) {
			refresh(nowNanos, daemons, load);
			if (load.isPaced(nowNanos)) {
				this.paced.add(load);
			}
			slots += load.view().serving() ? load.view().slots() : 0;
		}
		this.mostBeyond = this.guarded
				? (int) Math.max(1, Math.round(slots / (BEYOND_PART * Math.max(1, daemons.count())))) : 0;
		fillSpare(nowNanos);
	}

	private void fillSpare(long nowNanos) {
		this.spare.clear();
		if (!this.guarded) {
			return;
		}
		for (final TargetLoad load : this.members) {
			if (!load.place().isOpen() && load.mayTakeOne(nowNanos)) {
				this.spare.add(load);
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
			load.place().leave();
			return;
		}
		final int freed = this.guarded ? load.freeSlots(nowNanos, daemons) : load.freeSlots(nowNanos);
		this.freeSlots += load.place().countSlots(freed);
		if (this.guarded) {
			this.beyond += load.place().countBeyond(load.beyondLimit(nowNanos, daemons));
			this.spare.removeIf((each) -> each == load && !load.mayTakeOne(nowNanos));
		}
		place(load, freed > 0);
	}

	private void place(TargetLoad load, boolean room) {
		final SetPlace place = load.place();
		if (room && !place.isOpen()) {
			place.open(this.open.size());
			this.open.add(load);
		}
		else if (!room && place.isOpen()) {
			final TargetLoad last = this.open.remove(this.open.size() - 1);
			if (last != load) {
				this.open.set(place.openIndex(), last);
				last.place().open(place.openIndex());
			}
			place.shut();
		}
	}

	/**
	 * Returns how many attempts could start at once.
	 * @return the free slots over all targets; where this daemon's parts are used up, how
	 * many attempts may go beyond them
	 */
	public int freeSlots() {
		return (this.freeSlots > 0) ? this.freeSlots
				: Math.max(0, Math.min(this.spare.size(), this.mostBeyond - this.beyond));
	}

	/**
	 * Returns the targets that an attempt may go to, in no order: those where this daemon
	 * has room; where it has none, those that may take one beyond its parts.
	 * @return a view that follows the set
	 */
	public List<TargetLoad> open() {
		return goesBeyond() ? this.spareView : this.openView;
	}

	private boolean goesBeyond() {
		return this.open.isEmpty() && this.beyond < this.mostBeyond;
	}

	/**
	 * Returns whether an attempt may go to a target.
	 * @param load the target
	 * @return whether it is among the open ones
	 */
	boolean isOpen(TargetLoad load) {
		return goesBeyond() ? this.spare.contains(load) : load.place().isOpen();
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
		final long mixed = second ? Long.rotateLeft(hash, Integer.SIZE) * SECOND_HASH : hash;
		return this.members.get((int) Long.remainderUnsigned(mixed, this.members.size()));
	}

	int daemonCount() {
		return this.daemonCount;
	}

	/**
	 * Returns the usual time between two tokens.
	 * @return the median over the targets, in nanoseconds; 0 where it is not known
	 */
	public double medianTokenNanos() {
		return this.ejector.medianTokenNanos();
	}

	/**
	 * Returns what the targets take, where all that serve name limits or want nothing for
	 * a while.
	 * @param nowNanos the monotonic time
	 * @return what they take; empty where some target takes all that it has room for, or
	 * none serves
	 */
	public Optional<PacedSupply> pacedSupply(long nowNanos) {
		return this.paced.isEmpty() ? Optional.empty() : PacedSupply.of(nowNanos, this.members);
	}

	/**
	 * Returns all targets.
	 * @return the members
	 */
	public List<TargetLoad> members() {
		return Collections.unmodifiableList(this.members);
	}

}
