package org.pistachioline.core.stream;

/**
 * What a follower's state is worth.
 */
public enum StreamCondition {

	/** Nothing was read yet, so nothing is known. */
	UNREAD,

	/** Every record below the next offset is in the state. */
	WHOLE,

	/** Records expired unread; what is absent from the state may exist all the same. */
	LIMBO,

	/** A record of a newer schema stands at the next offset; the state ends before it. */
	HALTED

}
