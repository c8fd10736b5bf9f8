package org.pistachioline.core.stream;

/**
 * How completely a follower's state reflects its stream.
 */
public enum StreamCondition {

	/** Nothing has been read yet, so nothing is known. */
	UNREAD,

	/** The state includes every record below the next offset. */
	WHOLE,

	/**
	 * Records expired before they were read; what is absent from the state may exist
	 * nevertheless.
	 */
	LIMBO,

	/**
	 * The record at the next offset has a newer schema, which this version cannot read;
	 * the state ends before it.
	 */
	HALTED

}
