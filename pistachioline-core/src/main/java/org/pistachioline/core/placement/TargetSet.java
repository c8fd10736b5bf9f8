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
 */
public final class TargetSet {

	private static final long REFRESH_NANOS = 200_000_000L;

	private final StragglerEjector ejector = new StragglerEjector();

	private final List<TargetLoad> open = new ArrayList<>();

	private final List<TargetLoad> openView = Collections.unmodifiableList(this.open);

	private final Map<String, TargetLoad> byId = new HashMap<>();

	private List<TargetLoad> members = List.of();

	private boolean filled;

	private long refreshedAtNanos;

	/**
	 * Takes over the members.
	 * @param nowNanos the monotonic time
	 * @param newMembers every target of the model or service, serving or not
	 * @param daemonCount how many daemons share them
	 */
	public void replace(long nowNanos, List<TargetLoad> newMembers, int daemonCount) {
		if (!this.filled) {
			// A daemon that starts finds targets that were warm before it.
			newMembers.forEach(TargetLoad::warm);
			this.filled = true;
		}
		this.members.forEach((load) -> load.openIndex(-1));
		this.open.clear();
		this.byId.clear();
		this.members = newMembers;
		newMembers.forEach((load) -> this.byId.put(load.view().targetId(), load));
		refresh(nowNanos, daemonCount);
	}

	/**
	 * Lets time pass: ejections, slow starts and old reports.
	 * @param nowNanos the monotonic time
	 * @param daemonCount how many daemons share the targets
	 */
	public void onTick(long nowNanos, int daemonCount) {
		if (nowNanos - this.refreshedAtNanos >= REFRESH_NANOS) {
			this.ejector.eject(nowNanos, this.members);
			refresh(nowNanos, daemonCount);
		}
	}

	/**
	 * Looks at the room of every target anew.
	 * @param nowNanos the monotonic time
	 * @param daemonCount how many daemons share the targets
	 */
	public void refresh(long nowNanos, int daemonCount) {
		this.refreshedAtNanos = nowNanos;
		for (final TargetLoad load : this.members) {
			refresh(nowNanos, daemonCount, load);
		}
	}

	/**
	 * Looks at the room of one target anew.
	 * @param nowNanos the monotonic time
	 * @param daemonCount how many daemons share the target
	 * @param load the target
	 */
	public void refresh(long nowNanos, int daemonCount, TargetLoad load) {
		// A target that left the set may still have attempts in flight that end later.
		if (this.byId.get(load.view().targetId()) != load) {
			load.openIndex(-1);
			return;
		}
		final boolean room = load.hasRoom(nowNanos, daemonCount);
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
	 * Returns the targets with room, in no order.
	 * @return a view that follows the set
	 */
	public List<TargetLoad> open() {
		return this.openView;
	}

	/**
	 * Finds a target with room by its id.
	 * @param targetId the target
	 * @return the target; empty where it is gone or full
	 */
	public Optional<TargetLoad> openById(String targetId) {
		final TargetLoad load = this.byId.get(targetId);
		return (load != null && load.openIndex() >= 0) ? Optional.of(load) : Optional.empty();
	}

	/**
	 * Returns the target to which all daemons would send a prefix that none has seen.
	 * @param prefixHash the prefix's hash
	 * @return the target; empty where it is full
	 */
	public Optional<TargetLoad> openByHash(long prefixHash) {
		if (this.members.isEmpty()) {
			return Optional.empty();
		}
		final TargetLoad load = this.members.get((int) Long.remainderUnsigned(prefixHash, this.members.size()));
		return (load.openIndex() >= 0) ? Optional.of(load) : Optional.empty();
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
