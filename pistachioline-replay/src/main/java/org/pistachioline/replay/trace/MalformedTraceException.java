package org.pistachioline.replay.trace;

/**
 * Says which line of a file is wrong, and how.
 */
public final class MalformedTraceException extends Exception {

	private static final long serialVersionUID = 1L;

	/**
	 * Creates an exception.
	 * @param file the file
	 * @param line the line's number, from 1
	 * @param fault what is wrong
	 */
	public MalformedTraceException(String file, int line, String fault) {
		super(file + ":" + line + ": " + fault);
	}

}
