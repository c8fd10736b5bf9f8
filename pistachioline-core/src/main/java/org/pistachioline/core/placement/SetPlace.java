package org.pistachioline.core.placement;

/**
 * Where a target stands in its {@link TargetSet}, and what of it the set's sums hold.
 */
final class SetPlace {

	private static final int NOT_OPEN = -1;

	private int openIndex = NOT_OPEN;

	private int countedSlots;

	private int countedBeyond;

	boolean isOpen() {
		return this.openIndex != NOT_OPEN;
	}

	int openIndex() {
		return this.openIndex;
	}

	void open(int index) {
		this.openIndex = index;
	}

	void shut() {
		this.openIndex = NOT_OPEN;
	}

	/**
	 * Counts the free slots anew.
	 * @param slots the free slots
	 * @return by how much the set's sum changes
	 */
	int countSlots(int slots) {
		final int change = slots - this.countedSlots;
		this.countedSlots = slots;
		return change;
	}

	/**
	 * Counts the attempts beyond this daemon's part anew.
	 * @param attempts the attempts
	 * @return by how much the set's sum changes
	 */
	int countBeyond(int attempts) {
		final int change = attempts - this.countedBeyond;
		this.countedBeyond = attempts;
		return change;
	}

	/**
	 * Leaves the set, whose sums begin anew.
	 */
	void leave() {
		this.openIndex = NOT_OPEN;
		this.countedSlots = 0;
		this.countedBeyond = 0;
	}

}
