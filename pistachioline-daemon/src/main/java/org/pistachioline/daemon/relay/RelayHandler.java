package org.pistachioline.daemon.relay;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import org.apache.commons.codec.digest.DigestUtils;

import org.pistachioline.adapters.web.RequestFault;
import org.pistachioline.adapters.web.WebAnswer;
import org.pistachioline.adapters.web.WebHandler;
import org.pistachioline.adapters.web.WebReply;
import org.pistachioline.adapters.web.WebRequest;
import org.pistachioline.core.error.ErrorKind;
import org.pistachioline.core.error.PistachiolineException;
import org.pistachioline.core.error.RunState;
import org.pistachioline.core.event.EventId;
import org.pistachioline.core.replica.ServingGroups;
import org.pistachioline.core.route.QueueTimeBudget;
import org.pistachioline.core.route.Route;
import org.pistachioline.core.route.RouteKind;
import org.pistachioline.core.route.RouteTable;
import org.pistachioline.core.route.WorkspaceApiKeys;
import org.pistachioline.core.traffic.ClaimRequirement;
import org.pistachioline.core.traffic.RequestInfo;
import org.pistachioline.core.traffic.TargetKind;
import org.pistachioline.daemon.event.Events;
import org.pistachioline.daemon.port.RelayedRequest;
import org.pistachioline.daemon.port.RequestMetadata;
import org.pistachioline.daemon.traffic.TrafficDuty;

/**
 * Takes callers' requests: finds the route and the workspace and hands the request to the
 * traffic duty.
 */
final class RelayHandler implements WebHandler {

	private static final int HIGHEST_PRIORITY = 9;

	/**
	 * A restarted daemon knows its configuration within a second, and is warm within a
	 * few.
	 */
	private static final long MIN_RETRY_AFTER_MILLIS = 1_000;

	/** Stands in logs and answers for the id of a request that was not read. */
	private static final String UNKNOWN_REQUEST_ID = "unknown";

	private final Supplier<RouteTable> routes;

	private final RelayContext context;

	private final TrafficDuty traffic;

	private final BooleanSupplier leaving;

	private final AtomicLong nextRequestId = new AtomicLong(1);

	RelayHandler(Supplier<RouteTable> routes, RelayContext tools, TrafficDuty traffic, BooleanSupplier leaving) {
		this.routes = routes;
		this.context = tools;
		this.traffic = traffic;
		this.leaving = leaving;
	}

	long receivedRequestCount() {
		return this.nextRequestId.get() - 1;
	}

	@Override
	public void handle(WebRequest request, WebReply reply) {
		final long id = this.nextRequestId.getAndIncrement();
		final CallerResponse answer = new CallerResponse(reply, this.leaving);
		try {
			route(id, request, reply, answer);
		}
		catch (RuntimeException ex) {
			answer.sendComplete(refusalOf(request, ex));
		}
	}

	private void route(long id, WebRequest request, WebReply reply, CallerResponse answer) {
		final long arrivedAtNanos = System.nanoTime();
		final RouteTable table = this.routes.get();
		require(table.isKnown(), ErrorKind.NOT_READY);
		final RequestMetadata head = this.context.protocol().readRequest(request.headers());
		final Route route = table.route(request.headers().first("Host").orElse(""), request.path())
			.orElseThrow(() -> new PistachiolineException(ErrorKind.NOT_FOUND));
		final Optional<WorkspaceApiKeys> holder = findApiKeyHolder(table, head);
		final boolean open = route.anonymous() || table.workspaceApiKeys().isEmpty();
		require(open || holder.isPresent(), ErrorKind.UNAUTHENTICATED);
		final Optional<String> workspace = open ? Optional.empty() : holder.map(WorkspaceApiKeys::name);
		final RelayedRequest call = new RelayedRequest(head, request.method(), request.target(),
				HopByHopHeaders.removeFrom(request.headers()), request.body(), workspace);
		final RequestInfo info = requestInfoOf(id, arrivedAtNanos, table, route, call, holder);
		final RelayExchange exchange = new RelayExchange(info, call, route.kind() == RouteKind.STREAM, this.context,
				answer);
		reply.listen(exchange);
		this.traffic.submit(exchange);
	}

	private static RequestInfo requestInfoOf(long id, long arrivedAtNanos, RouteTable table, Route route,
			RelayedRequest call, Optional<WorkspaceApiKeys> holder) {
		final RequestMetadata head = call.metadata();
		final String service = route.selectService(ThreadLocalRandom.current().nextDouble());
		final boolean grouped = table.service(service).filter((spec) -> spec.grouped()).isPresent();
		final long waitMillis = Math.min(route.timeoutMillis(), head.timeoutMillis().orElse(route.timeoutMillis()));
		final long deadlineNanos = arrivedAtNanos + TimeUnit.MILLISECONDS.toNanos(waitMillis);
		final long startNanos = arrivedAtNanos
				+ TimeUnit.MILLISECONDS.toNanos(QueueTimeBudget.maxQueueMillis(route, waitMillis));
		final int rank = holder.map(WorkspaceApiKeys::priority).filter((own) -> own >= 0).orElse(route.priority());
		return new RequestInfo(id, call.workspace().orElse(""), grouped ? TargetKind.MODEL : TargetKind.SERVICE,
				grouped ? ServingGroups.targetName(service, head.model().orElse("")) : service, head.promptTokens(),
				head.maxOutputTokens(), HIGHEST_PRIORITY - rank, startNanos, deadlineNanos, route.idempotent(),
				ClaimRequirement.NONE, RequestFingerprint.of(call), List.of(), Math.max(1, route.maxAttempts()),
				arrivedAtNanos + TimeUnit.MILLISECONDS.toNanos(route.targetLatencyMillis()));
	}

	// All hashes are compared each time, so that the time of an answer tells nothing of
	// how much of a guess was right.
	private static Optional<WorkspaceApiKeys> findApiKeyHolder(RouteTable table, RequestMetadata head) {
		if (head.apiKey().isEmpty()) {
			return Optional.empty();
		}
		final byte[] hash = DigestUtils.sha256(head.apiKey().get().getBytes(StandardCharsets.UTF_8));
		WorkspaceApiKeys found = null;
		for (final WorkspaceApiKeys holder : table.workspaceApiKeys()) {
			for (final String keySha256 : holder.keySha256()) {
				if (MessageDigest.isEqual(hash, HexFormat.of().parseHex(keySha256))) {
					found = holder;
				}
			}
		}
		return Optional.ofNullable(found);
	}

	private WebAnswer refusalOf(WebRequest request, RuntimeException cause) {
		final ErrorKind kind = (cause instanceof PistachiolineException known) ? known.kind() : ErrorKind.INTERNAL;
		final String requestId = requestIdOf(request);
		if (kind == ErrorKind.INTERNAL) {
			Events.log(EventId.REQUEST_INTERNAL_ERROR, cause, "request", requestId);
		}
		else {
			logRefusal(requestId, kind, request.path());
		}
		return RelayErrorResponses.of(requestId, kind, RunState.NOT_RUN, kind.retryable() ? retryAfterMillis() : 0);
	}

	@Override
	public WebAnswer onFault(RequestFault fault) {
		final ErrorKind kind = switch (fault) {
			case MALFORMED -> ErrorKind.MALFORMED_REQUEST;
			case TOO_SLOW -> ErrorKind.REQUEST_TIMEOUT;
			case BODY_TOO_LARGE, HEAD_TOO_LARGE -> ErrorKind.REQUEST_TOO_LARGE;
		};
		logRefusal(UNKNOWN_REQUEST_ID, kind, "");
		return RelayErrorResponses.of(UNKNOWN_REQUEST_ID, kind, RunState.NOT_RUN, 0);
	}

	private void logRefusal(String requestId, ErrorKind kind, String path) {
		Events.log(EventId.REQUEST_REFUSED, "request", requestId, "kind", kind.code(), "config_version",
				this.routes.get().version(), "path", path);
	}

	// Spread, so that callers who were refused together do not come back together.
	private static long retryAfterMillis() {
		return MIN_RETRY_AFTER_MILLIS + ThreadLocalRandom.current().nextLong(MIN_RETRY_AFTER_MILLIS);
	}

	private String requestIdOf(WebRequest request) {
		try {
			return this.context.protocol().readRequest(request.headers()).requestId();
		}
		catch (PistachiolineException ex) {
			// The refusal that is being written says just this.
			return UNKNOWN_REQUEST_ID;
		}
	}

	private static void require(boolean condition, ErrorKind kind) {
		if (!condition) {
			throw new PistachiolineException(kind);
		}
	}

}
