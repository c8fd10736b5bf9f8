package org.pistachioline.core.listing;

/**
 * The part of the list's history that a daemon knows record by record, which decides
 * whether it can send a peer a delta or only a snapshot.
 * <p>
 * A snapshot shows which instances are listed, not which were added and removed since the
 * previous snapshot. A peer whose offset lies between the two may have read the addition
 * of an instance that the reader of the snapshots never saw. If it were sent a delta
 * without that instance's removal, it would keep the instance forever.
 */
final class HistoryCoverage {

	private long completeFromOffset;

	private long gapStartOffset;

	private long gapEndOffset;

	/**
	 * Starts over from a snapshot.
	 * @param offset the offset of the snapshot
	 */
	void startAt(long offset) {
		this.completeFromOffset = offset;
	}

	/**
	 * Records that additions and removals between two offsets are unknown.
	 * @param fromOffset the offset up to which the history is known
	 * @param toOffset the offset from which it is known again
	 */
	void addGap(long fromOffset, long toOffset) {
		this.completeFromOffset = Math.max(this.completeFromOffset, this.gapEndOffset);
		this.gapStartOffset = fromOffset;
		this.gapEndOffset = toOffset;
	}

	/**
	 * Records that the history is no longer complete before an evicted tombstone.
	 * @param offset the tombstone's offset
	 */
	void onTombstoneEvicted(long offset) {
		this.completeFromOffset = Math.max(this.completeFromOffset, offset + 1);
	}

	/**
	 * Returns whether the history from an offset on is complete.
	 * @param fromOffset the first offset that a peer lacks
	 * @return whether a delta from there contains every change
	 */
	boolean covers(long fromOffset) {
		final boolean inGap = fromOffset > this.gapStartOffset && fromOffset < this.gapEndOffset;
		return fromOffset >= this.completeFromOffset && !inGap;
	}

	/**
	 * Returns the end of the latest gap.
	 * @return the first offset after it; 0 if there is no gap
	 */
	long gapEndOffset() {
		return this.gapEndOffset;
	}

}
