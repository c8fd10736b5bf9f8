package org.pistachioline.core.reachability;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Tracks the targets that this daemon cannot connect to although another daemon can.
 * <p>
 * A failed connection does not show where the fault lies: the target may have crashed, or
 * this daemon may have been paused or overloaded. A target therefore counts as
 * unreachable only once another daemon has connected to it while the direct connection
 * had failed or was overdue, and until a direct connection succeeds. The daemon as a
 * whole counts as partitioned while most of the targets that it tries are unreachable, so
 * that a few targets with broken links do not affect it. Thread-safe.
 */
public final class TargetReachability {

	/** Fewer targets may be unreachable because of their own links. */
	private static final int MIN_UNREACHABLE_TARGETS = 3;

	/** By how much unreachable targets must outnumber the others. */
	private static final int UNREACHABLE_RATIO = 2;

	private final Map<String, Long> probedAtNanosByAddress = new HashMap<>();

	private final Set<String> reachedMeanwhile = new HashSet<>();

	private boolean partitioned;

	/**
	 * Records a direct connection to a target.
	 * @param address the target's address
	 * @return whether the target was unreachable until now
	 */
	public synchronized boolean onDirectConnection(String address) {
		final boolean wasUnreachable = this.probedAtNanosByAddress.remove(address) != null;
		if (this.probedAtNanosByAddress.isEmpty()) {
			this.reachedMeanwhile.clear();
		}
		else {
			this.reachedMeanwhile.add(address);
		}
		update();
		return wasUnreachable;
	}

	/**
	 * Records that another daemon connected to a target to which the direct connection
	 * had failed or was overdue.
	 * @param nowNanos the monotonic time
	 * @param address the target's address
	 * @return whether the target was not known as unreachable
	 */
	public synchronized boolean onIndirectConnection(long nowNanos, String address) {
		this.reachedMeanwhile.remove(address);
		final boolean added = this.probedAtNanosByAddress.putIfAbsent(address, nowNanos) == null;
		update();
		return added;
	}

	private void update() {
		final int unreachable = this.probedAtNanosByAddress.size();
		final int reached = this.reachedMeanwhile.size();
		if (this.partitioned) {
			this.partitioned = unreachable > 0 && unreachable >= reached;
		}
		else {
			this.partitioned = unreachable >= MIN_UNREACHABLE_TARGETS && unreachable >= UNREACHABLE_RATIO * reached;
		}
	}

	/**
	 * Returns whether a target is unreachable.
	 * @param address the target's address
	 * @return whether only other daemons can connect to it
	 */
	public synchronized boolean isUnreachable(String address) {
		return this.probedAtNanosByAddress.containsKey(address);
	}

	/**
	 * Returns the unreachable targets.
	 * @return their addresses
	 */
	public synchronized Set<String> unreachable() {
		return Set.copyOf(this.probedAtNanosByAddress.keySet());
	}

	/**
	 * Returns whether this daemon is partitioned from most targets.
	 * @return whether it is
	 */
	public synchronized boolean isPartitioned() {
		return this.partitioned;
	}

	/**
	 * Selects unreachable targets that are to be connected to again, those first that
	 * were not tried for longest.
	 * @param nowNanos the monotonic time
	 * @param maxTargets the maximum number of targets
	 * @return their addresses
	 */
	public synchronized List<String> takeProbes(long nowNanos, int maxTargets) {
		final List<String> due = this.probedAtNanosByAddress.entrySet()
			.stream()
			.sorted(Map.Entry.<String, Long>comparingByValue().thenComparing(Map.Entry.comparingByKey()))
			.limit(maxTargets)
			.map(Map.Entry::getKey)
			.toList();
		due.forEach((address) -> this.probedAtNanosByAddress.put(address, nowNanos));
		return due;
	}

	/**
	 * Removes the targets that no longer exist.
	 * @param addresses the addresses of all targets
	 */
	public synchronized void retain(Set<String> addresses) {
		this.probedAtNanosByAddress.keySet().retainAll(addresses);
		this.reachedMeanwhile.retainAll(addresses);
		update();
	}

}
