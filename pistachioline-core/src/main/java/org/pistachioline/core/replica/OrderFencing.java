package org.pistachioline.core.replica;

/**
 * Whether instances use the fencing tokens of orders.
 */
public enum OrderFencing {

	/** Instances reject an order that arrives after a newer one. */
	ENFORCED,

	/** Instances execute orders in whatever sequence they arrive. */
	IGNORED

}
