package org.pistachioline.daemon.traffic;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;

import org.apache.pekko.http.javadsl.model.ContentType;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.StatusCodes;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;

import org.pistachioline.adapters.http.HttpAnswer;
import org.pistachioline.adapters.http.HttpCaller;
import org.pistachioline.core.error.ErrorKind;
import org.pistachioline.core.error.RunState;
import org.pistachioline.core.record.KeyOutcome;
import org.pistachioline.core.traffic.AttemptId;
import org.pistachioline.core.traffic.AttemptOutcome;
import org.pistachioline.core.traffic.RequestInfo;
import org.pistachioline.core.traffic.TrafficAction;

/**
 * A call of a plain service, whose response is sent in one piece.
 */
final class ServiceExchange implements Exchange {

	/** As for a response that is relayed whole. */
	private static final long MAX_RESPONSE_BYTES = 16L * 1024 * 1024;

	private final RequestInfo info;

	private final String requestIdText;

	private final ServiceCall call;

	private final HttpCaller http;

	private final TrafficDuty traffic;

	private final CompletableFuture<HttpResponse> response = new CompletableFuture<>();

	private volatile AttemptId liveAttempt;

	private volatile HttpAnswer targetResponse;

	ServiceExchange(RequestInfo info, String requestIdText, ServiceCall call, HttpCaller http, TrafficDuty traffic) {
		this.info = info;
		this.requestIdText = requestIdText;
		this.call = call;
		this.http = http;
		this.traffic = traffic;
	}

	CompletableFuture<HttpResponse> response() {
		return this.response;
	}

	@Override
	public RequestInfo info() {
		return this.info;
	}

	@Override
	public void start(TrafficAction.Start start, AttemptListener listener) {
		this.liveAttempt = start.attempt();
		HttpRequest request = HttpRequest.create("http://" + start.target().address() + this.call.pathAndQuery())
			.withMethod(this.call.method())
			.addHeader(RawHeader.create("Pistachioline-Attempt", start.attempt().wireForm()));
		if (!this.call.idempotencyKey().isEmpty()) {
			request = request.addHeader(RawHeader.create("Idempotency-Key", this.call.idempotencyKey()));
		}
		if (this.call.bodyBytes().length > 0) {
			request = request.withEntity(HttpEntities.create(this.call.contentType(), this.call.bodyBytes()));
		}
		this.http.call(request, this.call.timeoutMillis(), MAX_RESPONSE_BYTES).whenComplete((received, failure) -> {
			if (failure != null) {
				listener.onEnd(start.attempt(), AttemptFailures.classify(failure), 0);
				return;
			}
			if (start.attempt().equals(this.liveAttempt)) {
				this.targetResponse = received;
			}
			// The response to a cancelled attempt is dropped because its attempt is no
			// longer live.
			listener.onEnd(start.attempt(), AttemptOutcome.COMPLETE, 0);
		});
	}

	@Override
	public void cancel(AttemptId attempt) {
		this.liveAttempt = null;
	}

	@Override
	public void finish() {
		final HttpAnswer received = this.targetResponse;
		this.traffic.settle(this, received.status(), received.contentType(),
				new String(received.bodyBytes(), StandardCharsets.UTF_8));
		respond(received.status(), received.contentType(), received.bodyBytes());
	}

	private void respond(int status, String contentType, byte[] bodyBytes) {
		final ContentType type = org.apache.pekko.http.javadsl.model.ContentTypes.parse(contentType);
		this.response.complete(HttpResponse.create()
			.withStatus(StatusCodes.lookup(status).orElse(StatusCodes.OK))
			.addHeader(RawHeader.create(ErrorBody.REQUEST_ID_HEADER, this.requestIdText))
			.withEntity(HttpEntities.create((type != null) ? type : ContentTypes.APPLICATION_OCTET_STREAM, bodyBytes)));
	}

	@Override
	public void fail(ErrorKind kind, RunState runState, long retryAfterMillis) {
		this.response.complete(ErrorResponses.of(this.requestIdText, kind, runState, retryAfterMillis));
	}

	@Override
	public void replay(KeyOutcome outcome) {
		respond(outcome.status(), outcome.contentType(), outcome.body().getBytes(StandardCharsets.UTF_8));
	}

}
