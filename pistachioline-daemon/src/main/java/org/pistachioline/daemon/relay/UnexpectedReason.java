package org.pistachioline.daemon.relay;

import java.util.Locale;

/**
 * How a response of a target was found not to belong to a request.
 */
public enum UnexpectedReason {

	/** It was received while no request was waiting on its connection. */
	IDLE,

	/** Its head was made of the heads of two answers. */
	JOINED,

	/** It names another request than the one on its connection, or none. */
	MISMATCHED;

	/**
	 * Returns the reason's name in logs and metrics.
	 * @return the name, in lower case
	 */
	public String code() {
		return name().toLowerCase(Locale.ROOT);
	}

}
