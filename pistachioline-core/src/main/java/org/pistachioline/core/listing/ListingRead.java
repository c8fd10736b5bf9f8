package org.pistachioline.core.listing;

import java.util.Optional;

/**
 * The result of reading the platform's instance list.
 *
 * @param outcome the kind of result
 * @param delta the records read; empty unless the read succeeded
 */
public record ListingRead(Outcome outcome, Optional<ListingDelta> delta) {

	/** The platform did not answer. */
	public static final ListingRead FAILED = new ListingRead(Outcome.FAILED, Optional.empty());

	/** The platform no longer retains the requested records. */
	public static final ListingRead HISTORY_GONE = new ListingRead(Outcome.HISTORY_GONE, Optional.empty());

	/**
	 * Creates the result of reading the latest record of every instance.
	 * @param delta the records; both of its offsets are the end of the list when the read
	 * began
	 * @return the result
	 */
	public static ListingRead snapshot(ListingDelta delta) {
		return new ListingRead(Outcome.SNAPSHOT, Optional.of(delta));
	}

	/**
	 * Creates the result of reading all records from an offset on.
	 * @param delta the records
	 * @return the result
	 */
	public static ListingRead delta(ListingDelta delta) {
		return new ListingRead(Outcome.DELTA, Optional.of(delta));
	}

	/**
	 * The kinds of results.
	 */
	public enum Outcome {

		/** The latest record of every instance was read. */
		SNAPSHOT,

		/** All records from an offset on were read. */
		DELTA,

		/** The requested records are no longer retained. */
		HISTORY_GONE,

		/** The platform did not answer. */
		FAILED

	}

}
