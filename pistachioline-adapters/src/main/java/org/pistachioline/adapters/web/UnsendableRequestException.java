package org.pistachioline.adapters.web;

import java.io.IOException;

/**
 * A request that could not be written, so that no byte of it was sent.
 */
public final class UnsendableRequestException extends IOException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates the exception.
	 * @param cause why it could not be written
	 */
	public UnsendableRequestException(Throwable cause) {
		super("The request could not be written", cause);
	}

}
