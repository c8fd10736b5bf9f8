package org.pistachioline.daemon.relay;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

import org.apache.commons.codec.digest.DigestUtils;

import org.pistachioline.adapters.web.CloseCause;
import org.pistachioline.adapters.web.HeaderFields;
import org.pistachioline.adapters.web.RequestFault;
import org.pistachioline.adapters.web.WebAnswer;
import org.pistachioline.adapters.web.WebHandler;
import org.pistachioline.adapters.web.WebReply;
import org.pistachioline.adapters.web.WebRequest;
import org.pistachioline.core.error.ErrorKind;
import org.pistachioline.core.error.PistachiolineException;
import org.pistachioline.core.error.RunState;
import org.pistachioline.core.event.EventId;
import org.pistachioline.core.propagation.VersionLag;
import org.pistachioline.core.replica.ServingGroups;
import org.pistachioline.core.route.EngineSpec;
import org.pistachioline.core.route.QueueTimeBudget;
import org.pistachioline.core.route.Route;
import org.pistachioline.core.route.RouteKind;
import org.pistachioline.core.route.RouteTable;
import org.pistachioline.core.route.ServiceSpec;
import org.pistachioline.core.route.WorkspaceApiKeys;
import org.pistachioline.core.traffic.ClaimRequirement;
import org.pistachioline.core.traffic.RequestInfo;
import org.pistachioline.core.traffic.TargetKind;
import org.pistachioline.daemon.event.Events;
import org.pistachioline.daemon.port.RelayedRequest;
import org.pistachioline.daemon.port.RequestMetadata;
import org.pistachioline.daemon.traffic.TrafficDuty;

/**
 * Accepts callers' requests: resolves the route, authenticates the workspace and submits
 * the request to the traffic duty.
 */
final class RelayHandler implements WebHandler {

	private static final int HIGHEST_PRIORITY = 9;

	/**
	 * A restarted daemon has its configuration within a second and is warmed up within a
	 * few seconds.
	 */
	private static final long MIN_RETRY_AFTER_MILLIS = 1_000;

	/** Within which a daemon that is behind usually has a copy from another one. */
	private static final long CATCH_UP_MILLIS = 500;

	/**
	 * Placeholder in logs and responses for the id of a request whose headers could not
	 * be read.
	 */
	private static final String UNKNOWN_REQUEST_ID = "unknown";

	private final Supplier<RouteTable> routes;

	private final RelayContext context;

	private final TrafficDuty traffic;

	private final LoopMonitor loopMonitor;

	private final AtomicLong nextRequestId = new AtomicLong(1);

	private volatile Supplier<VersionLag> configurationLag = () -> VersionLag.NONE;

	RelayHandler(Supplier<RouteTable> routes, RelayContext context, TrafficDuty traffic, LoopMonitor loopMonitor) {
		this.routes = routes;
		this.context = context;
		this.traffic = traffic;
		this.loopMonitor = loopMonitor;
	}

	void setConfigurationLag(Supplier<VersionLag> lag) {
		this.configurationLag = lag;
	}

	long receivedRequestCount() {
		return this.nextRequestId.get() - 1;
	}

	@Override
	public void handle(WebRequest request, WebReply reply) {
		final long id = this.nextRequestId.getAndIncrement();
		final CallerResponse response = new CallerResponse(reply);
		try {
			route(id, request, reply, response);
		}
		catch (RuntimeException ex) {
			response.sendComplete(refusalOf(request, ex));
		}
	}

	private void route(long id, WebRequest request, WebReply reply, CallerResponse response) {
		final long arrivedAtNanos = reply.arrivedAtNanos();
		final RouteTable table = this.routes.get();
		require(table.isKnown(), ErrorKind.NOT_READY);
		final RequestMetadata metadata = this.context.protocol().readRequest(request.headers());
		final Route route = table.route(request.headers().first("Host").orElse(""), request.path())
			.orElseThrow(() -> new PistachiolineException(unlessBehind(ErrorKind.NOT_FOUND)));
		require(!this.loopMonitor.refuses(arrivedAtNanos,
				QueueTimeBudget.maxQueueMillis(route, timeoutMillis(route, metadata))), ErrorKind.OVERLOADED);
		final Optional<WorkspaceApiKeys> keyHolder = findApiKeyHolder(table, metadata);
		final boolean anonymous = route.anonymous() || table.workspaceApiKeys().isEmpty();
		if (!anonymous && keyHolder.isEmpty()) {
			throw new PistachiolineException(unlessBehind(ErrorKind.UNAUTHENTICATED));
		}
		require(anonymous || keyHolder.get().sendable(), ErrorKind.UNSENDABLE);
		final Optional<String> workspace = anonymous ? Optional.empty() : keyHolder.map(WorkspaceApiKeys::name);
		final RelayedRequest relayed = new RelayedRequest(metadata, request.method(), request.target(),
				HopByHopHeaders.removeFrom(request.headers()), request.body(), workspace);
		final RequestInfo info = requestInfoOf(id, arrivedAtNanos, table, route, relayed, keyHolder);
		final RelayExchange exchange = new RelayExchange(info, relayed, route.kind() == RouteKind.STREAM, this.context,
				response);
		reply.listen(exchange);
		this.traffic.submit(exchange);
	}

	// A caller takes a refusal as final, so it must not rest on a configuration that may
	// be
	// old.
	private ErrorKind unlessBehind(ErrorKind kind) {
		return this.configurationLag.get().mayBeBehind() ? ErrorKind.CONFIG_BEHIND : kind;
	}

	private static RequestInfo requestInfoOf(long id, long arrivedAtNanos, RouteTable table, Route route,
			RelayedRequest relayed, Optional<WorkspaceApiKeys> keyHolder) {
		final RequestMetadata metadata = relayed.metadata();
		final String service = route.selectService(ThreadLocalRandom.current().nextDouble());
		final Optional<EngineSpec> engine = table.service(service)
			.filter(ServiceSpec::grouped)
			.flatMap(ServiceSpec::engine);
		final boolean grouped = engine.isPresent();
		final long timeoutMillis = timeoutMillis(route, metadata);
		final long deadlineNanos = arrivedAtNanos + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
		final long firstTokenDeadlineNanos = arrivedAtNanos
				+ TimeUnit.MILLISECONDS.toNanos(QueueTimeBudget.maxQueueMillis(route, timeoutMillis));
		final int priority = keyHolder.map(WorkspaceApiKeys::priority)
			.filter((own) -> own >= 0)
			.orElse(route.priority());
		return new RequestInfo(id, relayed.workspace().orElse(""), grouped ? TargetKind.MODEL : TargetKind.SERVICE,
				grouped ? ServingGroups.targetName(service, metadata.model().orElse("")) : service,
				metadata.promptTokens(), metadata.maxOutputTokens(), HIGHEST_PRIORITY - priority,
				firstTokenDeadlineNanos, deadlineNanos, route.idempotent(), ClaimRequirement.NONE,
				RequestFingerprint.of(relayed), List.of(), Math.max(1, route.maxAttempts()),
				arrivedAtNanos + TimeUnit.MILLISECONDS.toNanos(route.targetLatencyMillis()),
				metadata.sharedPromptParts(),
				engine.map((spec) -> spec.maxOutputEvents(metadata.maxOutputTokens())).orElse(0));
	}

	private static long timeoutMillis(Route route, RequestMetadata metadata) {
		return Math.min(route.timeoutMillis(), metadata.timeoutMillis().orElse(route.timeoutMillis()));
	}

	// Compares every hash, so that the response time does not reveal how much of a
	// guessed key is right.
	private static Optional<WorkspaceApiKeys> findApiKeyHolder(RouteTable table, RequestMetadata metadata) {
		if (metadata.apiKey().isEmpty()) {
			return Optional.empty();
		}
		final byte[] callerKeySha256 = DigestUtils.sha256(metadata.apiKey().get().getBytes(StandardCharsets.UTF_8));
		WorkspaceApiKeys found = null;
		for (final WorkspaceApiKeys keyHolder : table.workspaceApiKeys()) {
			for (final String keySha256 : keyHolder.keySha256()) {
				if (MessageDigest.isEqual(callerKeySha256, HexFormat.of().parseHex(keySha256))) {
					found = keyHolder;
				}
			}
		}
		return Optional.ofNullable(found);
	}

	private WebAnswer refusalOf(WebRequest request, RuntimeException cause) {
		final ErrorKind kind = (cause instanceof PistachiolineException known) ? known.kind() : ErrorKind.INTERNAL;
		final String requestId = requestIdOf(request.headers());
		if (kind == ErrorKind.INTERNAL) {
			Events.log(EventId.REQUEST_INTERNAL_ERROR, cause, "request", requestId);
		}
		else if (kind != ErrorKind.OVERLOADED) {
			// A late loop would be later still by a line for each request; LoopMonitor
			// counts them.
			logRefusal(requestId, kind, request.path());
		}
		return RelayErrorResponses.of(requestId, kind, RunState.NOT_RUN, kind.retryable() ? retryAfterMillis(kind) : 0);
	}

	@Override
	public WebAnswer onFault(RequestFault fault, HeaderFields headers) {
		final ErrorKind kind = switch (fault) {
			case MALFORMED -> ErrorKind.MALFORMED_REQUEST;
			case INTERNAL -> ErrorKind.INTERNAL;
			case NO_ROOM -> ErrorKind.OVERLOADED;
			case TOO_SLOW -> ErrorKind.REQUEST_TIMEOUT;
			case BODY_TOO_LARGE -> unlessUnknownOrBehind(ErrorKind.REQUEST_TOO_LARGE);
			case HEAD_TOO_LARGE -> unlessUnknownOrBehind(ErrorKind.HEAD_TOO_LARGE);
			case HEAD_OVER_EARLIER_LIMIT -> ErrorKind.CONFIG_BEHIND;
		};
		final String requestId = requestIdOf(headers);
		logRefusal(requestId, kind, "");
		return RelayErrorResponses.of(requestId, kind, RunState.NOT_RUN, retryAfterMillis(fault, kind));
	}

	private ErrorKind unlessUnknownOrBehind(ErrorKind kind) {
		return this.routes.get().isKnown() ? unlessBehind(kind) : ErrorKind.NOT_READY;
	}

	private long retryAfterMillis(RequestFault fault, ErrorKind kind) {
		return switch (kind) {
			case CONFIG_BEHIND -> jittered(CATCH_UP_MILLIS);
			case NOT_READY -> jitteredRetryMillis();
			default -> (fault == RequestFault.NO_ROOM) ? jitteredRetryMillis() : 0;
		};
	}

	@Override
	public void onUnhandled(WebRequest request, CloseCause cause) {
		this.context.incompleteResponses()
			.log(IncompleteResponse.unhandled(requestIdOf(request.headers()), cause.code()));
	}

	private void logRefusal(String requestId, ErrorKind kind, String path) {
		final VersionLag lag = this.configurationLag.get();
		Events.log(EventId.REQUEST_REFUSED, "request", requestId, "kind", kind.code(), "config_version",
				this.routes.get().version(), "newest_version", lag.newest(), "behind_millis", lag.behindMillis(),
				"path", path);
	}

	private long retryAfterMillis(ErrorKind kind) {
		return switch (kind) {
			case OVERLOADED -> this.loopMonitor.retryAfterMillis();
			case CONFIG_BEHIND -> jittered(CATCH_UP_MILLIS);
			default -> jitteredRetryMillis();
		};
	}

	private static long jitteredRetryMillis() {
		return jittered(MIN_RETRY_AFTER_MILLIS);
	}

	// So that callers refused at the same time do not retry at the same time.
	private static long jittered(long minMillis) {
		return minMillis + ThreadLocalRandom.current().nextLong(minMillis);
	}

	private String requestIdOf(HeaderFields headers) {
		try {
			return this.context.protocol().readRequest(headers).requestId();
		}
		catch (PistachiolineException ex) {
			// Already reported: the refusal being built is about the unreadable headers.
			return UNKNOWN_REQUEST_ID;
		}
	}

	private static void require(boolean condition, ErrorKind kind) {
		if (!condition) {
			throw new PistachiolineException(kind);
		}
	}

}
