package org.pistachioline.daemon.traffic;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import org.apache.pekko.NotUsed;
import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.Http;
import org.apache.pekko.http.javadsl.ServerBinding;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.MediaTypes;
import org.apache.pekko.stream.javadsl.Sink;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import org.pistachioline.adapters.http.ActorSystems;
import org.pistachioline.adapters.http.HttpCaller;
import org.pistachioline.adapters.http.Json;
import org.pistachioline.core.admission.AdmitAll;
import org.pistachioline.core.placement.LeastInFlight;
import org.pistachioline.core.quarantine.LogBasedQuarantine;
import org.pistachioline.core.queueing.FifoQueue;
import org.pistachioline.core.retry.BudgetedRetry;
import org.pistachioline.core.traffic.ClaimRequirement;
import org.pistachioline.core.traffic.RequestInfo;
import org.pistachioline.core.traffic.TargetKind;
import org.pistachioline.core.traffic.TargetView;
import org.pistachioline.core.traffic.TrafficCore;
import org.pistachioline.core.traffic.TrafficPolicies;
import org.pistachioline.daemon.InMemoryLog;
import org.pistachioline.daemon.agreed.AppendDuty;
import org.pistachioline.daemon.claims.ClaimService;

import static org.assertj.core.api.Assertions.assertThat;

class LoopbackTests {

	private static final int TOKENS = 8;

	private static final double APPENDS_PER_SECOND = 1_000;

	private static final int TOKENS_BEFORE_CRASH = 3;

	private final InMemoryLog log = new InMemoryLog();

	private final Map<String, Integer> runs = new ConcurrentHashMap<>();

	private ActorSystem<Void> system;

	private TrafficDuty traffic;

	private ExchangeStarter exchanges;

	@BeforeEach
	void start() {
		this.system = ActorSystems.create("loopback");
		final AppendDuty appender = new AppendDuty(this.system, this.log, "d", APPENDS_PER_SECOND, () -> 1);
		final ClaimService claims = new ClaimService(this.system, this.log, appender, "claims", 1);
		this.traffic = new TrafficDuty(this.system,
				new TrafficCore(new TrafficPolicies(new AdmitAll(), new FifoQueue(100), new LeastInFlight(),
						new BudgetedRetry(), new LogBasedQuarantine())),
				claims, new LimitShareUpdater("d", Set::of, 500), new LogSuspectReporter(appender, "fleet"),
				new TraceRecorder(false));
		this.exchanges = new ExchangeStarter(new HttpCaller(this.system), this.traffic);
		appender.start();
		claims.start();
		claims.whenCaughtUp().join();
		this.traffic.start();
	}

	@AfterEach
	void stop() {
		this.system.terminate();
	}

	// The group under a stream dies after three tokens. The caller's answer goes on from
	// another group, and reads as if nothing had happened.
	@Test
	void aStreamWhoseGroupCrashesIsResumedInTheSameResponse() {
		final List<String> resumedFrom = new ArrayList<>();
		final CompletableFuture<ByteString> death = new CompletableFuture<>();
		final String dying = serve((request) -> events(
				tokens(attempt(request), 0, TOKENS_BEFORE_CRASH).concat(Source.completionStage(death)), false));
		final String healthy = serve((request) -> {
			final int from = Integer.parseInt(header(request, "Pistachioline-Resume-From"));
			resumedFrom.add(Integer.toString(from));
			return events(tokens(attempt(request), from, TOKENS).concat(end(attempt(request))), false);
		});
		this.traffic.onTargets(List.of(model("a@1", dying, true), model("b@1", healthy, true)));
		final StringBuilder seen = new StringBuilder();
		this.exchanges.startCompletion(completion(1), "r-1", body(), true)
			.thenCompose((answer) -> answer.entity().getDataBytes().runForeach((bytes) -> {
				seen.append(bytes.utf8String());
				if (seen.indexOf(data(TOKENS_BEFORE_CRASH - 1)) >= 0) {
					death.completeExceptionally(new IllegalStateException("the group died"));
				}
			}, this.system))
			.join();
		assertThat(seen.toString()).isEqualTo(expected(TOKENS));
		assertThat(resumedFrom).containsExactly(Integer.toString(TOKENS_BEFORE_CRASH));
	}

	// A whole answer is put together from the same events; its last one must not be lost
	// to the end of the attempt, which is reported from another thread.
	@Test
	void aBufferedResponseHasEveryTokenAfterAResume() {
		final String dying = serve((request) -> events(tokens(attempt(request), 0, TOKENS_BEFORE_CRASH), true));
		final String healthy = serve((request) -> {
			final int from = Integer.parseInt(header(request, "Pistachioline-Resume-From"));
			return events(tokens(attempt(request), from, TOKENS).concat(end(attempt(request))), false);
		});
		this.traffic.onTargets(List.of(model("a@1", dying, true), model("b@1", healthy, true)));
		final String content = Json.tree(complete(1, false).getBytes(StandardCharsets.UTF_8))
			.path("choices")
			.path(0)
			.path("message")
			.path("content")
			.asText();
		assertThat(content).isEqualTo("w0w1w2w3w4w5w6w7");
	}

	// An engine's connection carries the answer to another shop's request. Nothing of it
	// reaches this caller; it is counted, and another group answers.
	@Test
	void aResponseToAnotherRequestIsDroppedAndCounted() {
		final String confused = serve((request) -> events(tokens("77-1", 0, TOKENS).concat(end("77-1")), false));
		final String healthy = serve(
				(request) -> events(tokens(attempt(request), 0, TOKENS).concat(end(attempt(request))), false));
		this.traffic.onTargets(List.of(model("a@1", confused, true), model("b@1", healthy, true)));
		assertThat(complete(1, true)).isEqualTo(expected(TOKENS));
		assertThat(this.traffic.droppedResponseCount()).isEqualTo(1);
	}

	// A caller hangs up in the middle of its answer. The engine's work for it is
	// cancelled;
	// otherwise callers that give up and ask again would fill the engines with work that
	// nobody reads.
	@Test
	void theEngineRequestIsCancelledWhenTheCallerDisconnects() {
		final CompletableFuture<String> cancelled = new CompletableFuture<>();
		final String endless = serve((request) -> {
			final Source<ByteString, NotUsed> never = Source.maybe()
				.mapMaterializedValue((mat) -> NotUsed.getInstance())
				.map((nothing) -> ByteString.emptyByteString());
			final Source<ByteString, NotUsed> events = tokens(attempt(request), 0, TOKENS_BEFORE_CRASH).concat(never)
				.watchTermination((mat, done) -> {
					done.whenComplete((ended, failure) -> cancelled.complete("cancelled"));
					return mat;
				});
			return HttpResponse.create()
				.withEntity(HttpEntities.createChunked(ContentTypes.create(MediaTypes.TEXT_EVENT_STREAM), events));
		});
		this.traffic.onTargets(List.of(model("a@1", endless, true)));
		final HttpResponse answer = this.exchanges.startCompletion(completion(1), "r-1", body(), true).join();
		answer.entity().getDataBytes().take(1).runWith(Sink.ignore(), this.system);
		assertThat(cancelled.join()).isEqualTo("cancelled");
	}

	// The service takes a booking and breaks the connection before it answers. The caller
	// is told that it may have run, and its repeat is told the same: one run, no second.
	@Test
	void aNonIdempotentCallWhoseResponseIsLostRunsOnceDespiteRetries() {
		final String service = serve((request) -> {
			this.runs.merge("k", 1, Integer::sum);
			throw new IllegalStateException("connection lost");
		}, true);
		this.traffic.onTargets(List.of(service("s1", service), service("s2", service)));
		final HttpResponse first = call(1, "k");
		assertThat(first.status().intValue()).isEqualTo(502);
		assertThat(runHeader(first)).isEqualTo("unknown");
		this.log.awaitEntries("claims-0", 2).join();
		for (int i = 2; i < 6; i++) {
			final HttpResponse repeat = call(i, "k");
			assertThat(repeat.status().intValue()).isEqualTo(409);
			assertThat(runHeader(repeat)).isEqualTo("unknown");
		}
		assertThat(this.runs).containsExactly(Map.entry("k", 1));
	}

	// An instance of the service is gone but still listed. No connection is made there,
	// so
	// nothing was sent, and the booking may go to the next one.
	@Test
	void aNonIdempotentCallThatWasNeverSentGoesToAnotherInstance() {
		final String service = serve((request) -> {
			this.runs.merge("k", 1, Integer::sum);
			return HttpResponse.create().withEntity(ContentTypes.APPLICATION_JSON, "{\"slot\":1}");
		});
		this.traffic.onTargets(List.of(service("gone", closedAddress()), service("s2", service)));
		for (int i = 1; i < 5; i++) {
			final HttpResponse answer = call(i, "k" + i);
			assertThat(answer.status().intValue()).isEqualTo(200);
		}
		assertThat(this.runs).containsExactly(Map.entry("k", 4));
	}

	private String complete(long requestId, boolean stream) {
		return this.exchanges.startCompletion(completion(requestId), "r-" + requestId, body(), stream)
			.thenCompose((answer) -> answer.entity()
				.getDataBytes()
				.runFold(ByteString.emptyByteString(), ByteString::concat, this.system))
			.join()
			.utf8String();
	}

	private HttpResponse call(long requestId, String key) {
		final long deadlineNanos = System.nanoTime() + TimeUnit.MINUTES.toNanos(1);
		final RequestInfo info = new RequestInfo(requestId, "w", TargetKind.SERVICE, "s", 1, 1, 0, deadlineNanos,
				deadlineNanos, false, new ClaimRequirement(key, "digest", 600_000), "", List.of());
		return this.exchanges
			.startServiceCall(info, "r-" + requestId, HttpRequest.POST("/services/s/book"), "/book", new byte[] { 1 },
					key, 30_000)
			.join();
	}

	private static RequestInfo completion(long requestId) {
		final long deadlineNanos = System.nanoTime() + TimeUnit.MINUTES.toNanos(1);
		return new RequestInfo(requestId, "w", TargetKind.MODEL, "m", 1, 100, 0, deadlineNanos, deadlineNanos, true,
				ClaimRequirement.NONE, "f" + requestId, List.of());
	}

	private static byte[] body() {
		return "{}".getBytes(StandardCharsets.UTF_8);
	}

	private static String expected(int count) {
		final StringBuilder text = new StringBuilder();
		for (int i = 0; i < count; i++) {
			text.append(data(i));
		}
		return text.append("data: {}\n\ndata: [DONE]\n\n").toString();
	}

	private static String data(int position) {
		return "data: {\"choices\":[{\"delta\":{\"content\":\"w" + position + "\"}}]}\n\n";
	}

	private static Source<ByteString, NotUsed> tokens(String attempt, int from, int to) {
		return Source.range(from, to - 1)
			.map((position) -> ByteString.fromString("id: " + attempt + ":" + position + "\n" + data(position)));
	}

	private static Source<ByteString, NotUsed> end(String attempt) {
		return Source.single(ByteString.fromString("id: " + attempt + ":end\ndata: {}\n\ndata: [DONE]\n\n"));
	}

	private static HttpResponse events(Source<ByteString, NotUsed> events, boolean breaks) {
		final Source<ByteString, NotUsed> sent = breaks
				? events.concat(Source.failed(new IllegalStateException("the group died"))) : events;
		return HttpResponse.create()
			.withEntity(HttpEntities.createChunked(ContentTypes.create(MediaTypes.TEXT_EVENT_STREAM), sent));
	}

	private static String attempt(HttpRequest request) {
		return header(request, "Pistachioline-Attempt");
	}

	private static String header(HttpRequest request, String name) {
		return request.getHeader(name).orElseThrow().value();
	}

	private static String runHeader(HttpResponse response) {
		return response.getHeader("Pistachioline-Run").orElseThrow().value();
	}

	private static TargetView model(String id, String address, boolean serving) {
		return new TargetView(id, TargetKind.MODEL, "m", address, 1, "a", serving, 4, 0, 0, 0);
	}

	private static TargetView service(String id, String address) {
		return new TargetView(id, TargetKind.SERVICE, "s", address, 0, "a", true, 4, 0, 0, 0);
	}

	private String serve(Function<HttpRequest, HttpResponse> handler) {
		return serve(handler, false);
	}

	private String serve(Function<HttpRequest, HttpResponse> handler, boolean cutsOnFailure) {
		final ServerBinding binding = Http.get(this.system).newServerAt("127.0.0.1", 0).bind((HttpRequest request) -> {
			request.discardEntityBytes(this.system);
			if (!cutsOnFailure) {
				return CompletableFuture.completedFuture(handler.apply(request));
			}
			try {
				return CompletableFuture.completedFuture(handler.apply(request));
			}
			catch (IllegalStateException ex) {
				return CompletableFuture.completedFuture(HttpResponse.create()
					.withEntity(HttpEntities.createChunked(ContentTypes.APPLICATION_JSON, Source.failed(ex))));
			}
		}).toCompletableFuture().join();
		return "127.0.0.1:" + binding.localAddress().getPort();
	}

	private String closedAddress() {
		final ServerBinding binding = Http.get(this.system)
			.newServerAt("127.0.0.1", 0)
			.bind((HttpRequest request) -> CompletableFuture.completedFuture(HttpResponse.create()))
			.toCompletableFuture()
			.join();
		binding.unbind().toCompletableFuture().join();
		return "127.0.0.1:" + binding.localAddress().getPort();
	}

}
