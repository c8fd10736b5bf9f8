package org.pistachioline.adapters.codec;

/**
 * Says that bytes on the log or from a peer are not what they should be.
 */
public final class CorruptRecordException extends Exception {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates the exception.
	 * @param cause what the decoder said
	 */
	public CorruptRecordException(Throwable cause) {
		super("The bytes could not be decoded", cause);
	}

}
