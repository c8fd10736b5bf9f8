package org.pistachioline.daemon.traffic;

import java.util.Map;

import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.StatusCodes;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.apache.pekko.util.ByteString;

import org.pistachioline.adapters.http.Json;
import org.pistachioline.core.error.ErrorKind;
import org.pistachioline.core.error.RunState;

/**
 * Writes the answers to requests that failed.
 */
public final class ErrorResponses {

	private static final long MILLIS_PER_SECOND = 1_000;

	private ErrorResponses() {
	}

	/**
	 * Writes an answer.
	 * @param requestId the request's id on the wire
	 * @param kind the error kind
	 * @param runState whether the request may have run
	 * @param retryAfterMillis when the caller may come back; 0 where it is not said
	 * @return the answer
	 */
	public static HttpResponse of(String requestId, ErrorKind kind, RunState runState, long retryAfterMillis) {
		HttpResponse response = HttpResponse.create()
			.withStatus(StatusCodes.custom(kind.httpStatus(), kind.code(), kind.message()))
			.addHeader(RawHeader.create(ErrorBody.REQUEST_ID_HEADER, requestId))
			.addHeader(RawHeader.create(ErrorBody.RUN_HEADER, runState.headerValue()))
			.withEntity(ContentTypes.APPLICATION_JSON, ErrorBody.of(kind));
		if (retryAfterMillis > 0) {
			final long seconds = (retryAfterMillis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
			response = response.addHeader(RawHeader.create("Retry-After", Long.toString(seconds)));
		}
		return response;
	}

	/**
	 * Writes a failure as the last event of a stream whose head has left.
	 * @param kind the error kind
	 * @param runState whether the request may have run
	 * @return the event
	 */
	static ByteString event(ErrorKind kind, RunState runState) {
		return ByteString.fromString("data: " + Json.write(Map.of("error", Map.of("code", kind.code(), "message",
				kind.message(), "type", kind.type(), "run", runState.headerValue()))) + "\n\n");
	}

}
