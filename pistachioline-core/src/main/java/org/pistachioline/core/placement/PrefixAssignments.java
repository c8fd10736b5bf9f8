package org.pistachioline.core.placement;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Gives each shared prefix a home: one of two targets that its hash names.
 * <p>
 * Made for many prefixes before small caches. With one target a hash, some targets get
 * twice as many prefixes as the mean and evict each other's; the one of two with fewer
 * homes so far keeps them nearly level. All daemons compute the same two, and whichever
 * of them already holds the prefix is taken, so that daemons agree without a message. The
 * table is bounded, the least recently used home is forgotten first.
 */
final class PrefixAssignments {

	private final int maxAssignments;

	private final LinkedHashMap<Long, String> targetByPrefix = new LinkedHashMap<>(16, 0.75f, true);

	private final Map<String, Integer> assignedCounts = new HashMap<>();

	PrefixAssignments(int maxHomes) {
		this.maxAssignments = maxHomes;
	}

	/**
	 * Chooses the home of a prefix.
	 * @param root the hash of the prompt's first block
	 * @param first the first target that the hash names
	 * @param second the second
	 * @param firstHolds whether the first is known to hold the prefix
	 * @param secondHolds whether the second is
	 * @return whether the second is the home
	 */
	boolean prefersSecond(Long root, String first, String second, boolean firstHolds, boolean secondHolds) {
		final String known = this.targetByPrefix.get(root);
		final boolean isSecond;
		if (firstHolds != secondHolds) {
			isSecond = secondHolds;
		}
		else if (firstHolds) {
			isSecond = false;
		}
		else if (known != null) {
			isSecond = known.equals(second);
		}
		else {
			isSecond = assignedCount(second) < assignedCount(first);
		}
		assign(root, known, isSecond ? second : first);
		return isSecond;
	}

	private int assignedCount(String targetId) {
		return this.assignedCounts.getOrDefault(targetId, 0);
	}

	private void assign(Long root, String known, String home) {
		if (home.equals(known)) {
			return;
		}
		if (known != null) {
			decrementCount(known);
		}
		this.targetByPrefix.put(root, home);
		this.assignedCounts.merge(home, 1, Integer::sum);
		if (this.targetByPrefix.size() > this.maxAssignments) {
			decrementCount(this.targetByPrefix.remove(this.targetByPrefix.keySet().iterator().next()));
		}
	}

	private void decrementCount(String targetId) {
		this.assignedCounts.computeIfPresent(targetId, (id, count) -> (count > 1) ? count - 1 : null);
	}

}
