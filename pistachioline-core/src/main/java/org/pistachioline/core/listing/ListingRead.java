package org.pistachioline.core.listing;

import java.util.Optional;

/**
 * What came of a read of the platform's list.
 *
 * @param outcome what came of it
 * @param delta what was read; empty where nothing was
 */
public record ListingRead(Outcome outcome, Optional<ListingDelta> delta) {

	/** The platform did not answer. */
	public static final ListingRead FAILED = new ListingRead(Outcome.FAILED, Optional.empty());

	/** The platform does not keep the wanted records any more. */
	public static final ListingRead HISTORY_GONE = new ListingRead(Outcome.HISTORY_GONE, Optional.empty());

	/**
	 * Returns a read of the newest record of every instance.
	 * @param delta the records; they count from where the list ended when the read began
	 * @return the read
	 */
	public static ListingRead snapshot(ListingDelta change) {
		return new ListingRead(Outcome.SNAPSHOT, Optional.of(change));
	}

	/**
	 * Returns a read of the records from an offset on.
	 * @param delta the records
	 * @return the read
	 */
	public static ListingRead delta(ListingDelta change) {
		return new ListingRead(Outcome.DELTA, Optional.of(change));
	}

	/**
	 * What a read can come to.
	 */
	public enum Outcome {

		/** The newest record of every instance was read. */
		SNAPSHOT,

		/** All records from an offset on were read. */
		DELTA,

		/** The records from that offset on are not kept any more. */
		HISTORY_GONE,

		/** The platform did not answer. */
		FAILED

	}

}
