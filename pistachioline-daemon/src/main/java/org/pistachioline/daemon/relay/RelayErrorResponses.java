package org.pistachioline.daemon.relay;

import java.util.Locale;

import org.pistachioline.adapters.web.WebAnswer;
import org.pistachioline.core.error.ErrorKind;
import org.pistachioline.core.error.RunState;
import org.pistachioline.daemon.traffic.ErrorBody;

/**
 * Builds the error responses that this daemon itself sends to callers.
 */
final class RelayErrorResponses {

	private static final double MILLIS_PER_SECOND = 1_000;

	private RelayErrorResponses() {
	}

	/**
	 * Builds an error response.
	 * @param requestId the request id that the caller sent
	 * @param kind the error kind
	 * @param runState whether the request may have run
	 * @param retryAfterMillis how long the caller should wait before a retry; 0 for no
	 * statement
	 * @return the response
	 */
	static WebAnswer of(String requestId, ErrorKind kind, RunState runState, long retryAfterMillis) {
		final WebAnswer response = WebAnswer.json(kind.httpStatus(), ErrorBody.of(kind))
			.with(ErrorBody.REQUEST_ID_HEADER, requestId, ErrorBody.RUN_HEADER, runState.headerValue());
		if (!kind.promisesNotRun() || retryAfterMillis <= 0) {
			return response;
		}
		// Whole seconds are too coarse for callers whose timeout is a second or two.
		return response.with("Retry-After", String.format(Locale.ROOT, "%.2f", retryAfterMillis / MILLIS_PER_SECOND));
	}

}
