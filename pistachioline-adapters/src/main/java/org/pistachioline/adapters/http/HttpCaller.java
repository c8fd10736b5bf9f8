package org.pistachioline.adapters.http;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.model.HttpEntity;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;

/**
 * Calls other processes over pooled HTTP connections.
 * <p>
 * A call that fails before its answer's head completes exceptionally; whether its bytes
 * had left is not known then, so that callers must treat it as ambiguous.
 */
public final class HttpCaller {

	/** The largest answer that consists of a status or a short object. */
	public static final long SHORT_ANSWER_BYTES = 64 * 1024;

	private final ActorSystem<?> system;

	private final Http http;

	private final CallMeter meter = new CallMeter();

	/**
	 * Creates a caller.
	 * @param system the process's actor system
	 */
	public HttpCaller(ActorSystem<?> system) {
		this.system = system;
		this.http = Http.get(system);
	}

	/**
	 * Sends a request and gives the answer's head, with its body as a stream.
	 * @param request the request
	 * @return the answer
	 */
	public CompletionStage<HttpResponse> stream(HttpRequest request) {
		return this.http.singleRequest(request);
	}

	/**
	 * Sends a request and gives the whole answer.
	 * @param request the request
	 * @param timeoutMillis how long the answer may take
	 * @param maxBytes the largest body of the answer
	 * @return the answer, with its body read; fails with an
	 * {@link org.apache.pekko.http.scaladsl.model.EntityStreamSizeException} if the body
	 * is too large
	 */
	public CompletableFuture<HttpAnswer> call(HttpRequest request, long timeoutMillis, long maxBytes) {
		this.meter.onCall(request);
		return this.http.singleRequest(request)
			.thenCompose((response) -> response.entity()
				.withSizeLimit(maxBytes)
				.toStrict(timeoutMillis, this.system)
				.thenApply((entity) -> answer(request, response, entity)))
			.toCompletableFuture()
			.orTimeout(timeoutMillis, TimeUnit.MILLISECONDS);
	}

	/**
	 * Returns the counts of all calls.
	 * @return the meter
	 */
	public CallMeter meter() {
		return this.meter;
	}

	/**
	 * Returns the actor system on which streams run.
	 * @return the actor system
	 */
	public ActorSystem<?> system() {
		return this.system;
	}

	private HttpAnswer answer(HttpRequest request, HttpResponse response, HttpEntity.Strict entity) {
		this.meter.onAnswer(request, entity.getData().size());
		return new HttpAnswer(response.status().intValue(), entity.getContentType().toString(),
				response.getHeader("ETag").map(HttpHeader::value).orElse(""), entity.getData().toArray());
	}

}
