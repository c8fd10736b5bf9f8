package org.pistachioline.daemon.traffic;

import java.util.Map;

import org.pistachioline.adapters.http.Json;
import org.pistachioline.core.error.ErrorKind;

/**
 * What answers to failed requests say, whatever library sends them.
 */
public final class ErrorBody {

	/** Names the request on every answer. */
	public static final String REQUEST_ID_HEADER = "Pistachioline-Request-Id";

	/** Says on every failure whether the request ran. */
	public static final String RUN_HEADER = "Pistachioline-Run";

	private ErrorBody() {
	}

	/**
	 * Writes the body of an answer.
	 * @param kind the error kind
	 * @return the body, as JSON
	 */
	public static String of(ErrorKind kind) {
		return Json.write(Map.of("error", Map.of("code", kind.code(), "message", kind.message(), "type", kind.type())));
	}

}
