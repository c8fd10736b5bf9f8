package org.pistachioline.adapters.web;

import java.io.IOException;

/**
 * The other side sent more bytes than an answer, or a part of it, may have. Its
 * connection is closed.
 */
public final class ExcessiveBytesException extends IOException {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates the exception.
	 * @param part the part of the answer
	 * @param limitBytes the limit in bytes
	 */
	public ExcessiveBytesException(String part, long limitBytes) {
		super("More than " + limitBytes + " bytes of " + part + " were sent");
	}

}
