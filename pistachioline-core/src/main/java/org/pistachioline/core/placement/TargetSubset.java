package org.pistachioline.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * The few targets of a model or service that one of many daemons normally uses, so that
 * its connections are used again and its knowledge of their load is recent.
 * <p>
 * The targets are ordered by weighted rendezvous hashing, the slots being the weights:
 * those of the daemon's own availability zone first, then the others. The subset is the
 * head of this order. All subsets together use each target in proportion to its slots,
 * and a target that comes or goes changes only those subsets that it belongs to. The
 * epoch of a group has no part in the order, so a group that is formed anew keeps its
 * place and its connections.
 * <p>
 * The size is chosen so that about twelve daemons use each target: with fewer, the random
 * sizes of their loads would not even out. The daemon's fair share of all slots is
 * divided equally over its subset.
 */
final class TargetSubset {

	/** With fewer, the loss of a target would leave a daemon without a choice. */
	private static final int MIN_TARGETS = 3;

	private static final double DAEMONS_PER_TARGET = 12;

	/**
	 * By how much the exact size may fall below the current one, less 1, before the
	 * subset shrinks, so that it doesn't change with each daemon and target.
	 */
	private static final double SHRINK_MARGIN = 0.5;

	private final String availabilityZone;

	private final long key;

	private final Comparator<TargetLoad> order;

	private List<TargetLoad> ranked = List.of();

	private int size;

	private int nearCount;

	private double shareRatio;

	/**
	 * Creates an empty subset.
	 * @param availabilityZone the availability zone of this daemon
	 * @param key a number that differs between daemons
	 */
	TargetSubset(String availabilityZone, long key) {
		this.availabilityZone = availabilityZone;
		this.key = key;
		this.order = Comparator.comparing((TargetLoad load) -> !isNear(load))
			.thenComparingDouble(this::score)
			.thenComparing((load) -> load.view().targetId());
	}

	/**
	 * Recomputes the subset.
	 * @param members all targets, serving or not
	 * @param daemonCount the number of daemons that share them
	 */
	void update(List<TargetLoad> members, int daemonCount) {
		final List<TargetLoad> serving = new ArrayList<>(members.size());
		double slots = 0;
		for (final TargetLoad load : members) {
			load.setEntry().setSubsetRank(Integer.MAX_VALUE, false);
			if (load.view().serving()) {
				serving.add(load);
				slots += load.view().slots();
			}
		}
		serving.sort(this.order);
		this.ranked = serving;
		resize(Math.max(1, daemonCount));
		this.nearCount = 0;
		for (int rank = 0; rank < serving.size(); rank++) {
			serving.get(rank).setEntry().setSubsetRank(rank, rank < size());
			this.nearCount += isNear(serving.get(rank)) ? 1 : 0;
		}
		this.shareRatio = slots / Math.max(1, daemonCount) / Math.max(1, size());
	}

	private void resize(int daemonCount) {
		final double exact = Math.max(MIN_TARGETS, DAEMONS_PER_TARGET * this.ranked.size() / daemonCount);
		if (exact > this.size || exact < this.size - 1 - SHRINK_MARGIN) {
			this.size = (int) Math.ceil(exact);
		}
	}

	private double score(TargetLoad load) {
		return load.setEntry().draw(this.key, load.view().instanceId()).exponential() / load.view().slots();
	}

	/**
	 * Returns whether a target is in this daemon's availability zone.
	 * @param load the target
	 * @return whether it is
	 */
	boolean isNear(TargetLoad load) {
		return load.view().availabilityZone().equals(this.availabilityZone);
	}

	/**
	 * Returns this daemon's share of a target's slots.
	 * @param load the target
	 * @return the number of slots; 0 beyond the subset
	 */
	int share(TargetLoad load) {
		return load.setEntry().isInSubset()
				? (int) (this.shareRatio + load.setEntry().draw(this.key, load.view().instanceId()).uniform()) : 0;
	}

	/**
	 * Returns the targets of the subset, for operators.
	 * @return their ids in order of preference
	 */
	List<String> targetIds() {
		return this.ranked.subList(0, size()).stream().map((load) -> load.view().targetId()).toList();
	}

	/**
	 * Returns the number of targets in the subset.
	 * @return at most the number of serving targets
	 */
	int size() {
		return Math.min(this.size, this.ranked.size());
	}

	/**
	 * Returns the number of targets of the subset that are in this daemon's availability
	 * zone.
	 * @return the number of leading targets of the order
	 */
	int nearSize() {
		return Math.min(this.nearCount, size());
	}

	/**
	 * Returns the serving targets in this daemon's order of preference, the subset first.
	 * @return a read-only view
	 */
	List<TargetLoad> ranked() {
		return this.ranked;
	}

}
