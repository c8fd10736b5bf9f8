package org.pistachioline.adapters.platform;

import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import com.fasterxml.jackson.databind.JsonNode;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpRequest;

import org.pistachioline.adapters.http.HttpAnswer;
import org.pistachioline.adapters.http.HttpCaller;
import org.pistachioline.adapters.http.Json;

/**
 * The platform's log over HTTP; docs/PLATFORM.md has its form.
 */
public final class HttpLogService implements LogService {

	private static final long CALL_TIMEOUT_MILLIS = 3_000;

	/** The entries of a page, which base64 makes a third larger. */
	private static final int MAX_PAGE_BYTES = 4 * 1024 * 1024;

	private static final int TOO_LARGE = 413;

	private static final int TOO_MANY_REQUESTS = 429;

	private static final int UNAVAILABLE = 503;

	private final HttpCaller http;

	private final String baseUrl;

	/**
	 * Creates the adapter.
	 * @param http the HTTP client
	 * @param address the log's address, as host and port
	 */
	public HttpLogService(HttpCaller http, String address) {
		this.http = http;
		this.baseUrl = "http://" + address + "/streams/";
	}

	@Override
	public CompletableFuture<Long> append(String stream, byte[] payloadBytes) {
		final HttpRequest request = HttpRequest.POST(this.baseUrl + stream + "/entries")
			.withEntity(ContentTypes.APPLICATION_OCTET_STREAM, payloadBytes);
		return this.http.call(request, CALL_TIMEOUT_MILLIS, HttpCaller.SHORT_ANSWER_BYTES).handle((answer, failure) -> {
			if (failure != null) {
				throw new AppendException(AppendFailure.AMBIGUOUS, "The append's answer was lost", failure);
			}
			return offsetOf(answer);
		});
	}

	private static long offsetOf(HttpAnswer answer) {
		if (answer.isSuccess()) {
			return Json.tree(answer.bodyBytes()).path("offset").asLong();
		}
		throw new AppendException(failureOf(answer.status()), "The log answered " + answer.status(), null);
	}

	// The log's page says of these three that nothing was appended; all else may have.
	private static AppendFailure failureOf(int status) {
		return switch (status) {
			case TOO_MANY_REQUESTS, UNAVAILABLE -> AppendFailure.REFUSED;
			case TOO_LARGE -> AppendFailure.TOO_LARGE;
			default -> AppendFailure.AMBIGUOUS;
		};
	}

	@Override
	public CompletableFuture<LogPage> read(String stream, long fromOffset, long waitMillis) {
		final HttpRequest request = HttpRequest.GET(this.baseUrl + stream + "/entries?from=" + fromOffset
				+ "&wait_millis=" + waitMillis + "&max_bytes=" + MAX_PAGE_BYTES);
		return this.http.call(request, waitMillis + CALL_TIMEOUT_MILLIS, 2 * MAX_PAGE_BYTES)
			.thenApply(HttpLogService::pageOf);
	}

	private static LogPage pageOf(HttpAnswer answer) {
		if (!answer.isSuccess()) {
			throw new IllegalStateException("The log answered " + answer.status());
		}
		final JsonNode page = Json.tree(answer.bodyBytes());
		final List<LogEntry> entries = new ArrayList<>();
		for (final JsonNode entry : page.path("entries")) {
			entries.add(new LogEntry(entry.path("offset").asLong(), entry.path("appended_at_millis").asLong(),
					Base64.getDecoder().decode(entry.path("payload").asText())));
		}
		return new LogPage(page.path("head").asLong(), page.path("end").asLong(), entries);
	}

}
