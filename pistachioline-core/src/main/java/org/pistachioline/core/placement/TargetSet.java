package org.pistachioline.core.placement;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The targets of one model or service, with those apart that have room.
 * <p>
 * A decision must cost the same before 63 and before 1,600 targets, so the targets with
 * room are kept in a list of their own, in which one is added or taken out in constant
 * time; only a new view and the slow beat of the ejector look at all of them.
 */
public final class TargetSet {

	private static final long REFRESH_NANOS = 200_000_000L;

	private static final long SECOND_HASH = 0x9E3779B97F4A7C15L;

	private final StragglerEjector ejector = new StragglerEjector();

	private final boolean guarded;

	private final List<TargetLoad> open = new ArrayList<>();

	private final List<TargetLoad> openView = Collections.unmodifiableList(this.open);

	private final Map<String, TargetLoad> byId = new HashMap<>();

	private List<TargetLoad> members = List.of();

	private boolean filled;

	private int freeSlots;

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
		this.members.forEach((load) -> load.close());
		this.open.clear();
		this.freeSlots = 0;
		this.byId.clear();
		this.members = newMembers;
		newMembers.forEach((load) -> this.byId.put(load.view().targetId(), load));
		refresh(nowNanos, daemons);
	}

	/**
	 * Lets time pass: ejections, slow starts and old reports.
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
	}

	/**
	 * Looks at the room of every target anew.
	 * @param nowNanos the monotonic time
	 * @param daemons the daemons that share the targets
	 */
	public void refresh(long nowNanos, DaemonRank daemons) {
		this.daemonCount = daemons.count();
		this.refreshedAtNanos = nowNanos;
		for (final TargetLoad load : this.members) {
			refresh(nowNanos, daemons, load);
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
			load.close();
			return;
		}
		final int freed = this.guarded ? load.freeSlots(nowNanos, daemons) : load.freeSlots();
		final boolean room = freed > 0;
		this.freeSlots += freed - load.countedSlots();
		load.countedSlots(freed);
		if (room && load.openIndex() < 0) {
			load.openIndex(this.open.size());
			this.open.add(load);
		}
		else if (!room && load.openIndex() >= 0) {
			final TargetLoad last = this.open.remove(this.open.size() - 1);
			if (last != load) {
				this.open.set(load.openIndex(), last);
				last.openIndex(load.openIndex());
			}
			load.openIndex(-1);
		}
	}

	/**
	 * Returns how many attempts could start at once.
	 * @return the free slots over all targets
	 */
	public int freeSlots() {
		return this.freeSlots;
	}

	/**
	 * Returns the targets with room, in no order.
	 * @return a view that follows the set
	 */
	public List<TargetLoad> open() {
		return this.openView;
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
	 * Returns all targets.
	 * @return the members
	 */
	public List<TargetLoad> members() {
		return Collections.unmodifiableList(this.members);
	}

}
