package org.pistachioline.core.placement;

/**
 * The bookkeeping of one target in its {@link TargetSet}: its index in the list of
 * available targets, and its part of the set's totals.
 */
final class TargetSetEntry {

	private static final int NOT_AVAILABLE = -1;

	private int availableIndex = NOT_AVAILABLE;

	private int countedFreeSlots;

	private int countedExcessAttempts;

	private int subsetRank;

	private boolean inSubset;

	private double subsetScore;

	boolean isAvailable() {
		return this.availableIndex != NOT_AVAILABLE;
	}

	int availableIndex() {
		return this.availableIndex;
	}

	void setAvailableIndex(int index) {
		this.availableIndex = index;
	}

	void clearAvailableIndex() {
		this.availableIndex = NOT_AVAILABLE;
	}

	/**
	 * Returns the target's position in the daemon's order of preference.
	 * @return the position from 0; meaningless without a {@link TargetSubset}
	 */
	int subsetRank() {
		return this.subsetRank;
	}

	double subsetScore() {
		return this.subsetScore;
	}

	void setSubsetScore(double score) {
		this.subsetScore = score;
	}

	boolean isInSubset() {
		return this.inSubset;
	}

	void setSubsetRank(int rank, boolean isInSubset) {
		this.subsetRank = rank;
		this.inSubset = isInSubset;
	}

	/**
	 * Updates the number of free slots.
	 * @param slots the free slots
	 * @return the change, by which the set's total must change
	 */
	int updateFreeSlots(int slots) {
		final int change = slots - this.countedFreeSlots;
		this.countedFreeSlots = slots;
		return change;
	}

	/**
	 * Updates the number of attempts beyond this daemon's share.
	 * @param attempts the attempts
	 * @return the change, by which the set's total must change
	 */
	int updateExcessAttempts(int attempts) {
		final int change = attempts - this.countedExcessAttempts;
		this.countedExcessAttempts = attempts;
		return change;
	}

	/**
	 * Clears the bookkeeping when the set starts its totals from zero.
	 */
	void reset() {
		this.availableIndex = NOT_AVAILABLE;
		this.countedFreeSlots = 0;
		this.countedExcessAttempts = 0;
	}

}
