package org.pistachioline.core.listing;

/**
 * Which part of the list's history a daemon has seen record by record, so that it can
 * tell another daemon all that happened from some offset on.
 * <p>
 * A look at the whole list shows what is there, not what came and went since the look
 * before. A daemon that stands between the two may have seen an instance come that nobody
 * who looked knows of; told only the rest, it would keep that instance for good.
 */
final class HistoryCoverage {

	private long completeFromOffset;

	private long gapStartOffset;

	private long gapEndOffset;

	/**
	 * Begins anew with a whole list.
	 * @param offset the offset that the list stands for
	 */
	void startAt(long offset) {
		this.completeFromOffset = offset;
	}

	/**
	 * Notes that nothing is known of what came and went between two offsets.
	 * @param fromOffset the offset up to which all was known
	 * @param toOffset the offset from which all is known again
	 */
	void addGap(long fromOffset, long toOffset) {
		this.completeFromOffset = Math.max(this.completeFromOffset, this.gapEndOffset);
		this.gapStartOffset = fromOffset;
		this.gapEndOffset = toOffset;
	}

	/**
	 * Notes that a drop is remembered no longer.
	 * @param offset the drop's offset
	 */
	void onTombstoneEvicted(long offset) {
		this.completeFromOffset = Math.max(this.completeFromOffset, offset + 1);
	}

	/**
	 * Returns whether all that happened from an offset on can be told.
	 * @param fromOffset the first offset that another daemon lacks
	 * @return whether it can
	 */
	boolean covers(long fromOffset) {
		final boolean inGap = fromOffset > this.gapStartOffset && fromOffset < this.gapEndOffset;
		return fromOffset >= this.completeFromOffset && !inGap;
	}

	/**
	 * Returns the end of the last gap.
	 * @return the first offset after it; 0 where there is none
	 */
	long gapEndOffset() {
		return this.gapEndOffset;
	}

}
