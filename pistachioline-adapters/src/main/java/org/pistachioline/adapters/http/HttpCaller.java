package org.pistachioline.adapters.http;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;

import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.actor.typed.javadsl.Adapter;
import org.apache.pekko.http.javadsl.model.HttpEntity;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.Uri;
import org.apache.pekko.http.javadsl.settings.ClientConnectionSettings;

/**
 * Calls other processes over HTTP, each call on a connection of its own.
 * <p>
 * Logs, instance lists, engines and services do not say in an answer whose it is. On a
 * connection that carries another call, a late second answer to the one before would be
 * taken for that call's: an append or an order would count as done, and one caller's
 * answer would go to another.
 * <p>
 * A call that fails before its answer's head completes exceptionally; whether its bytes
 * had left is not known then, so that callers must treat it as ambiguous.
 */
public final class HttpCaller {

	/** The largest answer that consists of a status or a short object. */
	public static final long SHORT_ANSWER_BYTES = 64 * 1024;

	private final ActorSystem<?> system;

	private final ClientConnectionSettings settings;

	private final CallMeter meter = new CallMeter();

	/**
	 * Creates a caller.
	 * @param system the process's actor system
	 */
	public HttpCaller(ActorSystem<?> system) {
		this.system = system;
		this.settings = ClientConnectionSettings.create(Adapter.toClassic(system));
	}

	/**
	 * Sends a request and gives the answer's head, with its body as a stream.
	 * @param request the request
	 * @return the answer, whose connection is closed where its body is given up; fails
	 * with {@link NotConnectedException} where no connection was made
	 */
	public CompletionStage<HttpResponse> stream(HttpRequest request) {
		return open(request).answer();
	}

	/**
	 * Sends a request and gives the whole answer. A call that fails or takes too long
	 * closes its connection.
	 * @param request the request
	 * @param timeoutMillis how long the answer may take
	 * @param maxBytes the largest body of the answer
	 * @return the answer, with its body read; fails with an
	 * {@link org.apache.pekko.http.scaladsl.model.EntityStreamSizeException} if the body
	 * is too large
	 */
	public CompletableFuture<HttpAnswer> call(HttpRequest request, long timeoutMillis, long maxBytes) {
		this.meter.onCall(request);
		final OwnedConnection connection = open(request);
		final CompletableFuture<HttpAnswer> whole = connection.answer()
			.thenCompose((response) -> response.entity()
				.withSizeLimit(maxBytes)
				.toStrict(timeoutMillis, this.system)
				.thenApply((entity) -> answer(request, response, entity)))
			.orTimeout(timeoutMillis, TimeUnit.MILLISECONDS);
		whole.whenComplete((answer, failure) -> {
			if (failure != null) {
				connection.abort();
			}
		});
		return whole;
	}

	private OwnedConnection open(HttpRequest request) {
		final Uri uri = request.getUri();
		return new OwnedConnection(this.system, uri.host().address() + ":" + uri.port(), this.settings,
				request.withUri(uri.toRelative()));
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
