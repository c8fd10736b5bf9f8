package org.pistachioline.adapters.web;

/**
 * Why a request could not be read.
 */
public enum RequestFault {

	/** The server failed while it read the request. */
	INTERNAL(500),

	/** The server holds as many bytes for its callers as it may. */
	NO_ROOM(503),

	/**
	 * Its head is over the limit with which its connection was accepted, which has been
	 * raised since; it may be sent again on a new connection.
	 */
	HEAD_OVER_EARLIER_LIMIT(503),

	/** It is no HTTP request. */
	MALFORMED(400),

	/** It took longer than it may. */
	TOO_SLOW(408),

	/** Its body is over the limit. */
	BODY_TOO_LARGE(413),

	/** Its first line or its header fields are over the limit. */
	HEAD_TOO_LARGE(431);

	private final int status;

	RequestFault(int status) {
		this.status = status;
	}

	/**
	 * Returns the status that HTTP has for it.
	 * @return the status
	 */
	public int status() {
		return this.status;
	}

}
