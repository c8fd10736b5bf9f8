package org.pistachioline.daemon.relay;

import java.util.Locale;

import org.pistachioline.adapters.web.WebAnswer;
import org.pistachioline.core.error.ErrorKind;
import org.pistachioline.core.error.RunState;
import org.pistachioline.daemon.traffic.ErrorBody;

/**
 * Writes this daemon's own answers to relayed requests.
 */
final class RelayErrorResponses {

	private static final double MILLIS_PER_SECOND = 1_000;

	private RelayErrorResponses() {
	}

	/**
	 * Writes an answer.
	 * @param requestId the id that the caller gave
	 * @param kind the error kind
	 * @param runState whether the request may have run
	 * @param retryAfterMillis when the caller may come back; 0 where it is not said
	 * @return the answer
	 */
	static WebAnswer of(String requestId, ErrorKind kind, RunState runState, long retryAfterMillis) {
		final WebAnswer answer = WebAnswer.json(kind.httpStatus(), ErrorBody.of(kind))
			.with(ErrorBody.REQUEST_ID_HEADER, requestId, ErrorBody.RUN_HEADER, runState.headerValue());
		if (!kind.promisesNotRun() || retryAfterMillis <= 0) {
			return answer;
		}
		// A caller that waits a second or two has no use for a time in whole seconds.
		return answer.with("Retry-After", String.format(Locale.ROOT, "%.2f", retryAfterMillis / MILLIS_PER_SECOND));
	}

}
