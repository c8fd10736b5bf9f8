package org.pistachioline.core.listing;

/**
 * Which part of the list's history a daemon has seen record by record, so that it can
 * tell another daemon all that happened from some offset on.
 * <p>
 * A look at the whole list shows what is there, not what came and went since the look
 * before. A daemon that stands between the two may have seen an instance come that nobody
 * who looked knows of; told only the rest, it would keep that instance for good.
 */
final class SeenHistory {

	private long completeFrom;

	private long gapStart;

	private long gapEnd;

	/**
	 * Begins anew with a whole list.
	 * @param offset the offset that the list stands for
	 */
	void beginAt(long offset) {
		this.completeFrom = offset;
	}

	/**
	 * Notes that nothing is known of what came and went between two offsets.
	 * @param fromOffset the offset up to which all was known
	 * @param toOffset the offset from which all is known again
	 */
	void noteGap(long fromOffset, long toOffset) {
		this.completeFrom = Math.max(this.completeFrom, this.gapEnd);
		this.gapStart = fromOffset;
		this.gapEnd = toOffset;
	}

	/**
	 * Notes that a drop is remembered no longer.
	 * @param offset the drop's offset
	 */
	void noteForgotten(long offset) {
		this.completeFrom = Math.max(this.completeFrom, offset + 1);
	}

	/**
	 * Returns whether all that happened from an offset on can be told.
	 * @param fromOffset the first offset that another daemon lacks
	 * @return whether it can
	 */
	boolean covers(long fromOffset) {
		final boolean inGap = fromOffset > this.gapStart && fromOffset < this.gapEnd;
		return fromOffset >= this.completeFrom && !inGap;
	}

	/**
	 * Returns the end of the last gap.
	 * @return the first offset after it; 0 where there is none
	 */
	long gapEnd() {
		return this.gapEnd;
	}

}
