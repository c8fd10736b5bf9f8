package org.pistachioline.daemon.http;

import java.util.Map;

import org.apache.pekko.event.LoggingAdapter;
import org.apache.pekko.http.ParsingErrorHandler;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.scaladsl.model.ErrorInfo;
import org.apache.pekko.http.scaladsl.model.StatusCode;
import org.apache.pekko.http.scaladsl.settings.ServerSettings;

import org.pistachioline.core.error.ErrorKind;
import org.pistachioline.daemon.traffic.ErrorAnswers;

/**
 * Answers what is no HTTP request, or one over the limits of its head, with our errors.
 * <p>
 * Pekko HTTP answers these by itself and in plain text, so a caller who sent too long a
 * head could not tell whether it was run. Pekko finds this class by name in
 * {@link #PEKKO_SETTINGS}, as an object of Scala, hence the other field's name.
 */
public final class ParsingErrors extends ParsingErrorHandler {

	/** The one instance, under the name that Pekko looks for. */
	public static final ParsingErrors MODULE$ = new ParsingErrors();

	/** Tells Pekko HTTP to use this class. */
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
		final int code = status.intValue();
		final boolean tooLarge = code == PAYLOAD_TOO_LARGE || code == URI_TOO_LONG || code == HEADERS_TOO_LARGE;
		final ErrorKind kind = tooLarge ? ErrorKind.REQUEST_TOO_LARGE : ErrorKind.MALFORMED_REQUEST;
		final HttpResponse answer = ErrorAnswers.of("unparsed", kind, kind.runState(), 0);
		return (org.apache.pekko.http.scaladsl.model.HttpResponse) answer;
	}

}
