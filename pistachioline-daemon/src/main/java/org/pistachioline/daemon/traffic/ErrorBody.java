package org.pistachioline.daemon.traffic;

import java.util.Map;

import org.pistachioline.adapters.http.Json;
import org.pistachioline.core.error.ErrorKind;

/**
 * The header names and the JSON body of error responses, for any HTTP library that sends
 * them.
 */
public final class ErrorBody {

	/** Identifies the request on every response. */
	public static final String REQUEST_ID_HEADER = "Pistachioline-Request-Id";

	/** States on every error response whether the request may have run. */
	public static final String RUN_HEADER = "Pistachioline-Run";

	private ErrorBody() {
	}

	/**
	 * Formats the body of an error response.
	 * @param kind the error kind
	 * @return the body, as JSON
	 */
	public static String of(ErrorKind kind) {
		return Json.write(Map.of("error", Map.of("code", kind.code(), "message", kind.message(), "type", kind.type())));
	}

}
