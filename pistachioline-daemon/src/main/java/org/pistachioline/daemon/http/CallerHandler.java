package org.pistachioline.daemon.http;

import java.nio.charset.StandardCharsets;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;

import org.apache.commons.codec.digest.DigestUtils;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntity;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpMethods;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;
import org.apache.pekko.http.scaladsl.model.EntityStreamSizeException;

import org.pistachioline.adapters.http.HttpCaller;
import org.pistachioline.adapters.http.Json;
import org.pistachioline.core.endpoints.EndpointSelector;
import org.pistachioline.core.error.ErrorKind;
import org.pistachioline.core.error.PistachiolineException;
import org.pistachioline.core.event.EventId;
import org.pistachioline.core.manifest.Manifest;
import org.pistachioline.core.manifest.OperationSpec;
import org.pistachioline.core.manifest.ServiceSpec;
import org.pistachioline.core.manifest.WorkspaceSpec;
import org.pistachioline.core.peer.PeerStatus;
import org.pistachioline.core.placement.PrefixHashes;
import org.pistachioline.core.traffic.ClaimRequirement;
import org.pistachioline.core.traffic.RequestInfo;
import org.pistachioline.core.traffic.TargetKind;
import org.pistachioline.daemon.event.Events;
import org.pistachioline.daemon.traffic.ErrorBody;
import org.pistachioline.daemon.traffic.ErrorResponses;
import org.pistachioline.daemon.traffic.ExchangeStarter;

/**
 * Serves the callers' endpoints: completions, models, plain services and the list of
 * daemons.
 */
public final class CallerHandler {

	private static final String SERVICES = "/services/";

	private static final int BYTES_PER_TOKEN = 4;

	private static final int MAX_KEY_LENGTH = 255;

	private static final long CLAIM_MARGIN_MILLIS = 10_000;

	private final DaemonView daemon;

	/** Refusals that a newer configuration may lift. */
	private static final Set<ErrorKind> BY_CONFIGURATION = EnumSet.of(ErrorKind.UNAUTHENTICATED, ErrorKind.FORBIDDEN,
			ErrorKind.UNKNOWN_MODEL, ErrorKind.UNKNOWN_SERVICE);

	private final ExchangeStarter exchanges;

	private final HttpCaller http;

	private final CallerLimits limits;

	private final AtomicLong nextEndpointsSequence = new AtomicLong(System.nanoTime());

	private final AtomicLong nextRequestId = new AtomicLong(1);

	private final String requestIdPrefix;

	/**
	 * Creates a handler that starts an exchange for each valid request.
	 * @param daemon the state of the daemon
	 * @param exchanges starts exchanges
	 * @param http the HTTP client, whose actor system reads the bodies
	 * @param limits the limits on requests
	 * @param requestIdPrefix the prefix of the request ids, unique to this daemon
	 */
	public CallerHandler(DaemonView daemon, ExchangeStarter exchanges, HttpCaller http, CallerLimits limits,
			String requestIdPrefix) {
		this.daemon = daemon;
		this.exchanges = exchanges;
		this.http = http;
		this.limits = limits;
		this.requestIdPrefix = requestIdPrefix;
	}

	/**
	 * Handles a request of a caller.
	 * @param request the request
	 * @return the response; never completes exceptionally
	 */
	public CompletionStage<HttpResponse> handle(HttpRequest request) {
		final long requestId = this.nextRequestId.getAndIncrement();
		final String requestIdText = this.requestIdPrefix + requestId;
		try {
			return route(request, requestId).exceptionally((failure) -> failureResponse(requestIdText, failure));
		}
		catch (RuntimeException ex) {
			request.discardEntityBytes(this.http.system());
			return CompletableFuture.completedFuture(failureResponse(requestIdText, ex));
		}
	}

	private CompletionStage<HttpResponse> route(HttpRequest request, long requestId) {
		final String path = request.getUri().path();
		if (path.equals("/v1/chat/completions")) {
			require(request.method().equals(HttpMethods.POST), ErrorKind.METHOD_NOT_ALLOWED);
			return complete(request, requestId);
		}
		if (path.startsWith(SERVICES)) {
			return callService(request, requestId);
		}
		require(path.equals("/v1/models") || path.equals("/v1/endpoints"), ErrorKind.NOT_FOUND);
		require(request.method().equals(HttpMethods.GET), ErrorKind.METHOD_NOT_ALLOWED);
		final HttpResponse response = path.equals("/v1/models") ? models(request) : endpoints(request);
		request.discardEntityBytes(this.http.system());
		return CompletableFuture.completedFuture(
				response.addHeader(RawHeader.create(ErrorBody.REQUEST_ID_HEADER, this.requestIdPrefix + requestId)));
	}

	private CompletionStage<HttpResponse> complete(HttpRequest request, long requestId) {
		final WorkspaceSpec workspace = workspaceOf(request);
		return body(request).thenCompose((bytes) -> {
			final CompletionRequest completion = CompletionRequest.parse(bytes)
				.orElseThrow(() -> new PistachiolineException(ErrorKind.MALFORMED_REQUEST));
			require(this.daemon.manifest().model(completion.model()).isPresent(), ErrorKind.UNKNOWN_MODEL);
			require(workspace.models().contains(completion.model()), ErrorKind.FORBIDDEN);
			return this.exchanges.startCompletion(requestInfo(workspace, completion, requestId),
					this.requestIdPrefix + requestId, bytes, completion.stream());
		});
	}

	private RequestInfo requestInfo(WorkspaceSpec workspace, CompletionRequest completion, long requestId) {
		final Manifest manifest = this.daemon.manifest();
		final long nowNanos = System.nanoTime();
		final int promptTokens = Math.max(1, completion.prompt().length() / BYTES_PER_TOKEN);
		final String fingerprint = DigestUtils.sha256Hex(completion.model() + '\n' + completion.prompt());
		return new RequestInfo(requestId, workspace.name(), TargetKind.MODEL, completion.model(), promptTokens,
				completion.maxTokens(), completion.priority(),
				nowNanos + TimeUnit.MILLISECONDS.toNanos(manifest.deadlines().firstTokenMillis()),
				nowNanos + TimeUnit.MILLISECONDS.toNanos(manifest.deadlines().totalMillis()), true,
				ClaimRequirement.NONE, fingerprint, PrefixHashes.of(completion.prompt()));
	}

	private CompletionStage<HttpResponse> callService(HttpRequest request, long requestId) {
		final WorkspaceSpec workspace = workspaceOf(request);
		final String rest = request.getUri().path().substring(SERVICES.length());
		final int slash = rest.indexOf('/');
		final String name = (slash >= 0) ? rest.substring(0, slash) : rest;
		final String path = (slash >= 0) ? rest.substring(slash) : "/";
		final ServiceSpec service = this.daemon.manifest()
			.service(name)
			.orElseThrow(() -> new PistachiolineException(ErrorKind.UNKNOWN_SERVICE));
		require(workspace.services().contains(name), ErrorKind.FORBIDDEN);
		final Optional<OperationSpec> operation = service.operation(request.method().value(), path);
		final boolean idempotent = operation.map(OperationSpec::idempotent).orElse(true);
		final String key = header(request, "Idempotency-Key").orElse("");
		require(idempotent || !key.isEmpty(), ErrorKind.KEY_REQUIRED);
		require(key.length() <= MAX_KEY_LENGTH, ErrorKind.MALFORMED_REQUEST);
		final String pathAndQuery = path + request.getUri().rawQueryString().map((query) -> "?" + query).orElse("");
		return body(request).thenCompose((bytes) -> {
			final ClaimRequirement claim = idempotent ? ClaimRequirement.NONE
					: new ClaimRequirement(DigestUtils.sha256Hex(key),
							DigestUtils.sha256Hex(name + '\n' + request.method().value() + '\n' + pathAndQuery + '\n'
									+ DigestUtils.sha256Hex(bytes)),
							operation.map(OperationSpec::keyLifetimeMillis).orElse(0L),
							service.timeoutMillis() + CLAIM_MARGIN_MILLIS);
			final long nowNanos = System.nanoTime();
			final long deadlineNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(service.timeoutMillis());
			final RequestInfo info = new RequestInfo(requestId, workspace.name(), TargetKind.SERVICE, name, 1, 1, 0,
					deadlineNanos, deadlineNanos, idempotent, claim, "", List.of());
			return this.exchanges.startServiceCall(info, this.requestIdPrefix + requestId, request, pathAndQuery, bytes,
					key, service.timeoutMillis());
		});
	}

	private WorkspaceSpec workspaceOf(HttpRequest request) {
		require(this.daemon.notReadyReason().isEmpty(), ErrorKind.NOT_READY);
		return WorkspaceKeys.find(this.daemon.manifest(), header(request, "Authorization"))
			.orElseThrow(() -> new PistachiolineException(ErrorKind.UNAUTHENTICATED));
	}

	private HttpResponse models(HttpRequest request) {
		final WorkspaceSpec workspace = workspaceOf(request);
		final List<Map<String, Object>> data = workspace.models()
			.stream()
			.map((name) -> Map.<String, Object>of("id", name, "object", "model", "owned_by", "pistachioline"))
			.toList();
		return json(Map.of("object", "list", "data", data));
	}

	private HttpResponse endpoints(HttpRequest request) {
		final String zone = request.getUri().query().get("availability_zone").orElse("");
		final List<PeerStatus> chosen = EndpointSelector.select(this.daemon.daemons(), zone,
				this.nextEndpointsSequence.getAndIncrement());
		final List<Map<String, Object>> endpoints = chosen.stream()
			.map((peer) -> Map.<String, Object>of("address", peer.callerAddress(), "availability_zone",
					peer.availabilityZone()))
			.toList();
		return json(Map.of("version", this.daemon.configVersion(), "ttl_seconds", this.limits.endpointTtlSeconds(),
				"endpoints", endpoints));
	}

	private CompletionStage<byte[]> body(HttpRequest request) {
		return request.entity()
			.withSizeLimit(this.limits.maxBodyBytes())
			.toStrict(this.limits.bodyTimeoutMillis(), this.http.system())
			.thenApply(HttpEntity.Strict::getData)
			.thenApply((data) -> data.toArray());
	}

	private HttpResponse failureResponse(String requestIdText, Throwable failure) {
		final Throwable cause = (failure instanceof CompletionException && failure.getCause() != null)
				? failure.getCause() : failure;
		final ErrorKind kind = unlessBehind(errorKindOf(cause));
		if (kind == ErrorKind.INTERNAL) {
			Events.log(EventId.REQUEST_INTERNAL_ERROR, cause, "request", requestIdText);
		}
		return ErrorResponses.of(requestIdText, kind, kind.runState(), kind.retryable() ? 1_000 : 0);
	}

	// A caller takes such a refusal as final, so it must not rest on a configuration that
	// is known to be old.
	private ErrorKind unlessBehind(ErrorKind kind) {
		final long inForce = this.daemon.configVersion();
		return (BY_CONFIGURATION.contains(kind)
				&& this.daemon.daemons().stream().anyMatch((each) -> each.configVersion() > inForce))
						? ErrorKind.CONFIG_BEHIND : kind;
	}

	private static ErrorKind errorKindOf(Throwable cause) {
		if (cause instanceof PistachiolineException known) {
			return known.kind();
		}
		if (cause instanceof EntityStreamSizeException) {
			return ErrorKind.REQUEST_TOO_LARGE;
		}
		return (cause instanceof TimeoutException) ? ErrorKind.REQUEST_TIMEOUT : ErrorKind.INTERNAL;
	}

	private static HttpResponse json(Object body) {
		return HttpResponse.create()
			.withEntity(ContentTypes.APPLICATION_JSON, Json.write(body).getBytes(StandardCharsets.UTF_8));
	}

	private static Optional<String> header(HttpRequest request, String name) {
		return request.getHeader(name).map(HttpHeader::value);
	}

	private static void require(boolean condition, ErrorKind kind) {
		if (!condition) {
			throw new PistachiolineException(kind);
		}
	}

}
