package org.pistachioline.daemon.traffic;

import java.util.concurrent.CompletableFuture;

import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;

import org.pistachioline.adapters.http.HttpCaller;
import org.pistachioline.core.traffic.RequestInfo;

/**
 * Starts exchanges and hands them to the traffic duty.
 */
public final class ExchangeStarter {

	private final HttpCaller http;

	private final TrafficDuty traffic;

	/**
	 * Creates the factory.
	 * @param http the HTTP client
	 * @param traffic the traffic duty
	 */
	public ExchangeStarter(HttpCaller http, TrafficDuty traffic) {
		this.http = http;
		this.traffic = traffic;
	}

	/**
	 * Starts a completion.
	 * @param info what the decisions know of it
	 * @param requestIdText its id on the wire
	 * @param body the caller's body
	 * @param stream whether the answer is streamed
	 * @return the answer
	 */
	public CompletableFuture<HttpResponse> startCompletion(RequestInfo info, String requestIdText, byte[] body,
			boolean stream) {
		final ModelExchange exchange = stream ? new StreamedExchange(info, requestIdText, body, this.http, this.traffic)
				: new BufferedExchange(info, requestIdText, body, this.http);
		this.traffic.submit(exchange);
		return exchange.response();
	}

	/**
	 * Starts a call of a plain service.
	 * @param info what the decisions know of it
	 * @param requestIdText its id on the wire
	 * @param request the caller's request
	 * @param pathAndQuery the path below the service
	 * @param body the caller's body
	 * @param idempotencyKey the caller's key; empty where there is none
	 * @param timeoutMillis how long the call may take
	 * @return the answer
	 */
	public CompletableFuture<HttpResponse> startServiceCall(RequestInfo info, String requestIdText, HttpRequest request,
			String pathAndQuery, byte[] body, String idempotencyKey, long timeoutMillis) {
		final ServiceCall call = new ServiceCall(request.method(), pathAndQuery, request.entity().getContentType(),
				body, idempotencyKey, timeoutMillis);
		final ServiceExchange exchange = new ServiceExchange(info, requestIdText, call, this.http, this.traffic);
		this.traffic.submit(exchange);
		return exchange.response();
	}

}
