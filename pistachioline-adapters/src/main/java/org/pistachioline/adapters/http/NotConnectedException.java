package org.pistachioline.adapters.http;

/**
 * No connection was made, so no byte of the request can have been read.
 */
public final class NotConnectedException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates the exception.
	 * @param address where no connection was made
	 * @param cause why
	 */
	public NotConnectedException(String address, Throwable cause) {
		super("No connection to " + address, cause);
	}

}
