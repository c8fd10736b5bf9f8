package org.pistachioline.daemon.http;

import java.util.Map;

import org.apache.pekko.event.LoggingAdapter;
import org.apache.pekko.http.ParsingErrorHandler;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.scaladsl.model.ErrorInfo;
import org.apache.pekko.http.scaladsl.model.StatusCode;
import org.apache.pekko.http.scaladsl.settings.ServerSettings;

import org.pistachioline.core.error.ErrorKind;
import org.pistachioline.daemon.traffic.ErrorResponses;

/**
 * Answers requests that cannot be parsed, or whose headers exceed the limits, with this
 * daemon's error format.
 * <p>
 * Pekko HTTP's own answer is plain text, from which a caller could not tell whether the
 * request was run. Pekko loads this class by the name in {@link #PEKKO_SETTINGS} and
 * expects a Scala object, hence the field name {@code MODULE$}.
 */
public final class ParsingErrors extends ParsingErrorHandler {

	/** The singleton, under the field name that Pekko looks up. */
	public static final ParsingErrors MODULE$ = new ParsingErrors();

	/** Settings that make Pekko HTTP use this class. */
	public static final Map<String, Object> PEKKO_SETTINGS = Map.of("pekko.http.server.parsing.error-handler",
			ParsingErrors.class.getName());

	private static final int PAYLOAD_TOO_LARGE = 413;

	private static final int URI_TOO_LONG = 414;

	private static final int HEADERS_TOO_LARGE = 431;

	private ParsingErrors() {
	}

	@Override
	public org.apache.pekko.http.scaladsl.model.HttpResponse handle(StatusCode status, ErrorInfo error,
			LoggingAdapter log, ServerSettings settings) {
		final ErrorKind kind = switch (status.intValue()) {
			case PAYLOAD_TOO_LARGE -> ErrorKind.REQUEST_TOO_LARGE;
			case URI_TOO_LONG, HEADERS_TOO_LARGE -> ErrorKind.HEAD_TOO_LARGE;
			default -> ErrorKind.MALFORMED_REQUEST;
		};
		final HttpResponse response = ErrorResponses.of("unparsed", kind, kind.runState(), 0);
		return (org.apache.pekko.http.scaladsl.model.HttpResponse) response;
	}

}
