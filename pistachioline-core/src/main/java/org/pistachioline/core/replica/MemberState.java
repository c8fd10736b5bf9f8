package org.pistachioline.core.replica;

/**
 * How far an instance is in its group.
 */
public enum MemberState {

	/** It prepares: it loads or takes over weights. */
	JOINING,

	/** It is prepared; a head in this state takes no requests. */
	READY,

	/** It is a head that takes requests. */
	OPEN,

	/** It is a head that finishes what it has and takes nothing new. */
	CLOSING,

	/** It is a head that has noticed the loss of a member. */
	BROKEN

}
