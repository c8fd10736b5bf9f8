package org.pistachioline.daemon.relay;

import java.util.Locale;

/**
 * The bound that a response exceeds.
 */
enum OversizeBound {

	/** The bound of one response. */
	SINGLE,

	/** The bound of all responses that are kept. */
	SUM;

	String code() {
		return name().toLowerCase(Locale.ROOT);
	}

}
