package org.pistachioline.core.replica;

/**
 * The result of an order to an instance.
 */
public enum OrderOutcome {

	/** The instance has started to execute the order. */
	STARTED,

	/** The ordered state already holds. */
	HOLDS,

	/** The order cannot be executed in the instance's current state. */
	UNFIT,

	/**
	 * The instance rejected the order because it has seen a higher fencing token or
	 * epoch.
	 */
	FENCED,

	/**
	 * The instance rejected the order because it has seen a newer one of the same
	 * planner; the order will not be executed.
	 */
	SUPERSEDED,

	/** Another instance runs at this address now. */
	OTHER_INSTANCE,

	/** The instance does not support the order. */
	INVALID,

	/**
	 * No answer arrived: the order may have been executed, or may be executed seconds
	 * later.
	 */
	UNKNOWN

}
