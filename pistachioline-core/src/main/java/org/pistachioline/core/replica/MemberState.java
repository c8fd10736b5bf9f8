package org.pistachioline.core.replica;

/**
 * The state of an instance within its group.
 */
public enum MemberState {

	/** The member prepares: it loads weights or takes over those it holds. */
	JOINING,

	/** The member is ready to serve; a head in this state does not accept requests. */
	READY,

	/** The head accepts requests. */
	OPEN,

	/** The head finishes its requests and accepts no new ones. */
	CLOSING,

	/** The head has noticed the loss of a member. */
	BROKEN

}
