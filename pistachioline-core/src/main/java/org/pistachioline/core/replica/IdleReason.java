package org.pistachioline.core.replica;

/**
 * Why a listed instance serves in no group and joins none.
 */
public enum IdleReason {

	/** It is about to leave. */
	DRAINING,

	/** Its group has lost a member or is being closed, and may still run requests. */
	GROUP_ENDING,

	/**
	 * An unanswered order to it, or to its predecessor at the same address, may still
	 * arrive.
	 */
	LATE_ORDER,

	/** Its host loads weights. */
	LOADING,

	/** It holds no weights, and the weight store has no load to spare. */
	NO_WEIGHTS,

	/** Fewer free instances of its fabric domain hold its weights than a group needs. */
	NO_PARTNERS,

	/** A group could be formed, but its members are held for another model. */
	HELD

}
