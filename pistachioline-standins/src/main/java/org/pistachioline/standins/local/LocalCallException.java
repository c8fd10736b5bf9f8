package org.pistachioline.standins.local;

import java.io.IOException;

/**
 * A call whose answer did not come, as happens when a process is killed.
 */
public final class LocalCallException extends RuntimeException {

	private static final long serialVersionUID = 1L;

	LocalCallException(String url, IOException cause) {
		super("No answer from " + url, cause);
	}

}
