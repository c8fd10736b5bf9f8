package org.pistachioline.core.placement;

/**
 * Where a target stands in its {@link TargetSet}, and what of it the set's sums hold.
 */
final class TargetSetEntry {

	private static final int NOT_AVAILABLE = -1;

	private int availableIndex = NOT_AVAILABLE;

	private int countedFreeSlots;

	private int countedExcessAttempts;

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
	 * Counts the free slots anew.
	 * @param slots the free slots
	 * @return by how much the set's sum changes
	 */
	int updateFreeSlots(int slots) {
		final int change = slots - this.countedFreeSlots;
		this.countedFreeSlots = slots;
		return change;
	}

	/**
	 * Counts the attempts beyond this daemon's part anew.
	 * @param attempts the attempts
	 * @return by how much the set's sum changes
	 */
	int updateExcessAttempts(int attempts) {
		final int change = attempts - this.countedExcessAttempts;
		this.countedExcessAttempts = attempts;
		return change;
	}

	/**
	 * Leaves the set, whose sums begin anew.
	 */
	void reset() {
		this.availableIndex = NOT_AVAILABLE;
		this.countedFreeSlots = 0;
		this.countedExcessAttempts = 0;
	}

}
