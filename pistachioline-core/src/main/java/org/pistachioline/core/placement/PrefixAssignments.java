package org.pistachioline.core.placement;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Assigns each shared prefix to one of the two targets that its hash selects.
 * <p>
 * With a single target for each hash, some targets get twice as many prefixes as the
 * mean, and these evict each other from caches that are small for the number of prefixes.
 * Choosing the one of two targets with fewer prefixes so far keeps them nearly balanced.
 * All daemons compute the same two targets, and the one that already holds the prefix is
 * preferred, so that daemons agree without exchanging messages. The table is bounded and
 * drops its least recently used assignment first.
 */
final class PrefixAssignments {

	private final int maxAssignments;

	private final LinkedHashMap<Long, String> targetByPrefix = new LinkedHashMap<>(16, 0.75f, true);

	private final Map<String, Integer> assignedCounts = new HashMap<>();

	PrefixAssignments(int maxAssignments) {
		this.maxAssignments = maxAssignments;
	}

	/**
	 * Assigns a prefix to one of its two targets.
	 * @param rootHash the hash of the prompt's first block
	 * @param first the first target that the hash selects
	 * @param second the second target that the hash selects
	 * @param firstHolds whether the first target is known to hold the prefix
	 * @param secondHolds whether the second target is known to hold the prefix
	 * @return whether the prefix is assigned to the second target
	 */
	boolean prefersSecond(Long rootHash, String first, String second, boolean firstHolds, boolean secondHolds) {
		final String previous = this.targetByPrefix.get(rootHash);
		final boolean isSecond;
		if (firstHolds != secondHolds) {
			isSecond = secondHolds;
		}
		else if (firstHolds) {
			isSecond = false;
		}
		else if (previous != null) {
			isSecond = previous.equals(second);
		}
		else {
			isSecond = assignedCount(second) < assignedCount(first);
		}
		assign(rootHash, previous, isSecond ? second : first);
		return isSecond;
	}

	private int assignedCount(String targetId) {
		return this.assignedCounts.getOrDefault(targetId, 0);
	}

	private void assign(Long rootHash, String previous, String targetId) {
		if (targetId.equals(previous)) {
			return;
		}
		if (previous != null) {
			decrementCount(previous);
		}
		this.targetByPrefix.put(rootHash, targetId);
		this.assignedCounts.merge(targetId, 1, Integer::sum);
		if (this.targetByPrefix.size() > this.maxAssignments) {
			decrementCount(this.targetByPrefix.remove(this.targetByPrefix.keySet().iterator().next()));
		}
	}

	private void decrementCount(String targetId) {
		this.assignedCounts.computeIfPresent(targetId, (id, count) -> (count > 1) ? count - 1 : null);
	}

}
