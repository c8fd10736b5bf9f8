package org.pistachioline.core.replica;

/**
 * What came of an order.
 */
public enum OrderOutcome {

	/** The order has begun. */
	STARTED,

	/** What was ordered holds already. */
	HOLDS,

	/** The order does not fit the instance's state. */
	UNFIT,

	/** The instance has seen a higher fencing token or epoch. */
	FENCED,

	/** Another instance has the address now. */
	OTHER_INSTANCE,

	/** The instance knows no such order. */
	INVALID,

	/** No answer came: it may have begun, or may begin seconds later. */
	UNKNOWN

}
