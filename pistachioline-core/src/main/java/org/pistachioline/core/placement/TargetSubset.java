package org.pistachioline.core.placement;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import org.apache.commons.codec.digest.MurmurHash3;

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

	/** Maps the upper 53 bits of a hash to a number from 0 to 1. */
	private static final double HASH_UNIT = 1.0 / (1L << 53);

	private static final int HASH_SHIFT = Long.SIZE - 53;

	private final String availabilityZone;

	private final long key;

	private final Comparator<TargetLoad> order;

	private List<TargetLoad> ranked = List.of();

	private int size;

	private int nearCount;

	private int slots;

	/**
	 * Creates an empty subset.
	 * @param availabilityZone the availability zone of this daemon
	 * @param key a number that differs between daemons
	 */
	TargetSubset(String availabilityZone, long key) {
		this.availabilityZone = availabilityZone;
		this.key = key;
		this.order = Comparator.comparing((TargetLoad load) -> !isNear(load))
			.thenComparingDouble((load) -> load.setEntry().subsetScore())
			.thenComparing((load) -> load.view().targetId());
	}

	/**
	 * Recomputes the subset.
	 * @param members all targets, serving or not
	 * @param daemons the daemons that share them
	 */
	void update(List<TargetLoad> members, DaemonRank daemons) {
		final List<TargetLoad> serving = new ArrayList<>(members.size());
		int totalSlots = 0;
		for (final TargetLoad load : members) {
			load.setEntry().setSubsetRank(Integer.MAX_VALUE, false);
			if (load.view().serving()) {
				load.setEntry().setSubsetScore(score(load));
				serving.add(load);
				totalSlots += load.view().slots();
			}
		}
		serving.sort(this.order);
		this.ranked = serving;
		resize(daemons.count());
		this.nearCount = 0;
		for (int rank = 0; rank < serving.size(); rank++) {
			serving.get(rank).setEntry().setSubsetRank(rank, rank < size());
			this.nearCount += isNear(serving.get(rank)) ? 1 : 0;
		}
		this.slots = daemons.equalShare(totalSlots, "");
	}

	private void resize(int daemonCount) {
		final double exact = Math.max(MIN_TARGETS, DAEMONS_PER_TARGET * this.ranked.size() / daemonCount);
		if (exact > this.size || exact < this.size - 1 - SHRINK_MARGIN) {
			this.size = (int) Math.ceil(exact);
		}
	}

	// Divided by the weights, the smallest of exponentially distributed numbers select a
	// weighted sample.
	private double score(TargetLoad load) {
		final byte[] name = load.view().instanceId().getBytes(StandardCharsets.UTF_8);
		final byte[] bytes = ByteBuffer.allocate(Long.BYTES + name.length).putLong(this.key).put(name).array();
		final double uniform = (MurmurHash3.hash128x64(bytes, 0, bytes.length, 0)[0] >>> HASH_SHIFT) * HASH_UNIT;
		return -Math.log(1 - uniform) / load.view().slots();
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
		if (!load.setEntry().isInSubset()) {
			return 0;
		}
		return this.slots / size() + ((load.setEntry().subsetRank() < this.slots % size()) ? 1 : 0);
	}

	/**
	 * Returns whether all targets of the subset in this daemon's availability zone have
	 * recently reported that they are full, so that requests must leave it.
	 * @param nowNanos the monotonic time
	 * @return whether they have; false where there are none
	 */
	boolean isReportedFull(long nowNanos) {
		return nearSize() > 0 && this.ranked.subList(0, nearSize())
			.stream()
			.allMatch((load) -> load.trustRatio(nowNanos) > 0 && !load.hasReportedRoom(nowNanos));
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
