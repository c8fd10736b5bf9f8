package org.pistachioline.adapters.web;

import java.util.Locale;

/**
 * Why this process closed a connection on which a request had no complete answer.
 */
public enum CloseCause {

	/** A message on the connection could not be handled. */
	CONNECTION_FAILED,

	/** The server was stopped. */
	SERVER_STOPPED;

	/**
	 * Returns the cause's name in logs and metrics.
	 * @return the name, in lower case
	 */
	public String code() {
		return name().toLowerCase(Locale.ROOT);
	}

}
