package org.pistachioline.daemon.relay;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

import org.apache.commons.codec.digest.DigestUtils;
import org.apache.pekko.http.javadsl.model.HttpEntity;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.apache.pekko.http.scaladsl.model.EntityStreamSizeException;
import org.apache.pekko.util.ByteString;

import org.pistachioline.core.error.ErrorKind;
import org.pistachioline.core.error.PistachiolineException;
import org.pistachioline.core.error.RunState;
import org.pistachioline.core.event.EventId;
import org.pistachioline.core.replica.ServingGroups;
import org.pistachioline.core.route.CallerPatience;
import org.pistachioline.core.route.KeyHolder;
import org.pistachioline.core.route.Route;
import org.pistachioline.core.route.RouteKind;
import org.pistachioline.core.route.RouteTable;
import org.pistachioline.core.traffic.ClaimNeed;
import org.pistachioline.core.traffic.RequestInfo;
import org.pistachioline.core.traffic.TargetKind;
import org.pistachioline.daemon.event.Events;
import org.pistachioline.daemon.port.CallHead;
import org.pistachioline.daemon.port.RelayedCall;
import org.pistachioline.daemon.traffic.TrafficDuty;

/**
 * Takes callers' requests: finds the route and the workspace, reads the body and hands
 * the request to the traffic duty.
 */
public final class RelayHandler {

	private static final int HIGHEST_PRIORITY = 9;

	/**
	 * A restarted daemon knows its configuration within a second, and is warm within a
	 * few.
	 */
	private static final long LEAST_RETRY_MILLIS = 1_000;

	private final Supplier<RouteTable> routes;

	private final RelayTools tools;

	private final TrafficDuty traffic;

	private final BooleanSupplier leaving;

	private final AtomicLong nextRequestId = new AtomicLong(1);

	/**
	 * Creates a handler.
	 * @param routes gives the configuration in force
	 * @param tools what exchanges share
	 * @param traffic decides
	 * @param leaving whether the daemon is about to stop
	 */
	public RelayHandler(Supplier<RouteTable> routes, RelayTools tools, TrafficDuty traffic, BooleanSupplier leaving) {
		this.routes = routes;
		this.tools = tools;
		this.traffic = traffic;
		this.leaving = leaving;
	}

	/**
	 * Returns how many requests have come.
	 * @return the number of requests
	 */
	public long arrived() {
		return this.nextRequestId.get() - 1;
	}

	HandledCall handle(HttpRequest request) {
		final long id = this.nextRequestId.getAndIncrement();
		CompletionStage<HttpResponse> answer;
		try {
			answer = route(id, request);
		}
		catch (RuntimeException ex) {
			answer = CompletableFuture.failedFuture(ex);
		}
		final CompletionStage<HttpResponse> whole = answer.exceptionally((failure) -> refuse(request, failure))
			.thenApply(this::onLeaving);
		return new HandledCall(whole, () -> this.traffic.callerGone(id));
	}

	// Callers move to other daemons with their next request and not in the middle of one.
	private HttpResponse onLeaving(HttpResponse answer) {
		return this.leaving.getAsBoolean() ? answer.addHeader(RawHeader.create("Connection", "close")) : answer;
	}

	private CompletionStage<HttpResponse> route(long id, HttpRequest request) {
		final long arrivedAtNanos = System.nanoTime();
		final RouteTable table = this.routes.get();
		require(table.known(), ErrorKind.NOT_READY);
		final CallHead head = this.tools.dialect().read(request);
		final String target = request.getHeader("Raw-Request-URI")
			.map(HttpHeader::value)
			.orElseGet(() -> request.getUri().toRelative().toString());
		final int query = target.indexOf('?');
		final Route route = table
			.route(request.getHeader("Host").map(HttpHeader::value).orElse(""),
					(query >= 0) ? target.substring(0, query) : target)
			.orElseThrow(() -> new PistachiolineException(ErrorKind.NOT_FOUND));
		final Optional<KeyHolder> holder = holderOf(table, head);
		final boolean open = route.anonymous() || table.keyHolders().isEmpty();
		require(open || holder.isPresent(), ErrorKind.UNAUTHENTICATED);
		final Optional<String> workspace = open ? Optional.empty() : holder.map(KeyHolder::name);
		return body(request, table).thenCompose((body) -> {
			final RelayedCall call = new RelayedCall(head, request.method(), target,
					ConnectionHeaders.passedOn(request), request.entity().getContentType(), body, workspace);
			final RequestInfo info = infoOf(id, arrivedAtNanos, table, route, call, holder);
			final RelayExchange exchange = new RelayExchange(info, call, route.kind() == RouteKind.STREAM, this.tools);
			this.traffic.arrive(exchange);
			return exchange.answer().response();
		});
	}

	private static RequestInfo infoOf(long id, long arrivedAtNanos, RouteTable table, Route route, RelayedCall call,
			Optional<KeyHolder> holder) {
		final CallHead head = call.head();
		final String service = route.serviceAt(ThreadLocalRandom.current().nextDouble());
		final boolean grouped = table.service(service).filter((spec) -> spec.grouped()).isPresent();
		final long waitMillis = Math.min(route.timeoutMillis(), head.waitMillis().orElse(route.timeoutMillis()));
		final long deadlineNanos = arrivedAtNanos + TimeUnit.MILLISECONDS.toNanos(waitMillis);
		final long startNanos = arrivedAtNanos
				+ TimeUnit.MILLISECONDS.toNanos(CallerPatience.latestStartMillis(route, waitMillis));
		final int rank = holder.map(KeyHolder::priority).filter((own) -> own >= 0).orElse(route.priority());
		return new RequestInfo(id, call.workspace().orElse(""), grouped ? TargetKind.MODEL : TargetKind.SERVICE,
				grouped ? ServingGroups.targetName(service, head.model().orElse("")) : service, head.promptTokens(),
				head.maxOutputTokens(), HIGHEST_PRIORITY - rank, startNanos, deadlineNanos, route.idempotent(),
				ClaimNeed.NONE, "", List.of(), Math.max(1, route.maxAttempts()));
	}

	// All hashes are compared each time, so that the time of an answer tells nothing of
	// how much of a guess was right.
	private static Optional<KeyHolder> holderOf(RouteTable table, CallHead head) {
		if (head.key().isEmpty()) {
			return Optional.empty();
		}
		final byte[] hash = DigestUtils.sha256(head.key().get().getBytes(StandardCharsets.UTF_8));
		KeyHolder found = null;
		for (final KeyHolder holder : table.keyHolders()) {
			for (final String keySha256 : holder.keySha256()) {
				if (MessageDigest.isEqual(hash, HexFormat.of().parseHex(keySha256))) {
					found = holder;
				}
			}
		}
		return Optional.ofNullable(found);
	}

	private CompletionStage<ByteString> body(HttpRequest request, RouteTable table) {
		if (request.entity() instanceof HttpEntity.Strict strict
				&& strict.getData().size() <= table.bounds().bodyBytes()) {
			return CompletableFuture.completedFuture(strict.getData());
		}
		return request.entity()
			.withSizeLimit(table.bounds().bodyBytes())
			.toStrict(table.bounds().idleMillis(), this.tools.system())
			.thenApply(HttpEntity.Strict::getData);
	}

	private HttpResponse refuse(HttpRequest request, Throwable failure) {
		final Throwable cause = (failure instanceof CompletionException && failure.getCause() != null)
				? failure.getCause() : failure;
		final ErrorKind kind = kindOf(cause);
		final String requestId = idOf(request);
		if (kind == ErrorKind.INTERNAL) {
			Events.log(EventId.REQUEST_FAULT, cause, "request", requestId);
		}
		else {
			Events.log(EventId.REQUEST_REFUSED, "request", requestId, "kind", kind.code(), "config_version",
					this.routes.get().version(), "path", request.getUri().path());
		}
		request.discardEntityBytes(this.tools.system());
		return RelayAnswers.of(requestId, kind, RunState.NOT_RUN, kind.retryable() ? retryAfterMillis() : 0);
	}

	// Spread, so that callers who were refused together do not come back together.
	private static long retryAfterMillis() {
		return LEAST_RETRY_MILLIS + ThreadLocalRandom.current().nextLong(LEAST_RETRY_MILLIS);
	}

	private String idOf(HttpRequest request) {
		try {
			return this.tools.dialect().read(request).requestId();
		}
		catch (PistachiolineException ex) {
			// The refusal that is being written says just this.
			return "unknown";
		}
	}

	private static ErrorKind kindOf(Throwable cause) {
		if (cause instanceof PistachiolineException known) {
			return known.kind();
		}
		if (cause instanceof EntityStreamSizeException) {
			return ErrorKind.REQUEST_TOO_LARGE;
		}
		return (cause instanceof TimeoutException) ? ErrorKind.REQUEST_TIMEOUT : ErrorKind.INTERNAL;
	}

	private static void require(boolean condition, ErrorKind kind) {
		if (!condition) {
			throw new PistachiolineException(kind);
		}
	}

}
