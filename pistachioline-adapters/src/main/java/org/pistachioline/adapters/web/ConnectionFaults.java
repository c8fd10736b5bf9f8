package org.pistachioline.adapters.web;

import java.io.IOException;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;

/**
 * Logs what goes wrong on a connection other than its being reset, which is told to
 * whoever waits on it and is no fault of this process.
 */
final class ConnectionFaults {

	private static final Logger LOGGER = LogManager.getLogger(ConnectionFaults.class);

	private ConnectionFaults() {
	}

	static boolean isReset(Throwable cause) {
		return cause instanceof IOException;
	}

	static void log(Throwable cause) {
		if (!isReset(cause)) {
			LOGGER.error("A message could not be handled; its connection is closed", cause);
		}
	}

}
