package org.pistachioline.standins;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.MediaTypes;
import org.apache.pekko.stream.BoundedSourceQueue;
import org.apache.pekko.stream.QueueOfferResult;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;

import org.pistachioline.adapters.http.Json;

/**
 * Stands in for one instance with a model engine: continuous batching with a token clock,
 * priorities, cancel, resume, orders with fencing numbers. docs/TARGETS.md describes it.
 */
public final class EngineStandIn extends StandIn {

	private static final long READ_TIMEOUT_MILLIS = 5_000;

	private static final int SINK_CAPACITY = 64;

	private static final String KILLER_MARK = "CRASH-THE-ENGINE";

	private final String instanceId;

	private final EngineOptions options;

	private final EngineFabric fabric;

	private final ScheduledExecutorService clock;

	private final List<EngineRequest> running = new ArrayList<>();

	private final List<EngineRequest> waiting = new ArrayList<>();

	private final PrefixCache cache;

	private EngineFaults faults = EngineFaults.NONE;

	private ScheduledFuture<?> ticking;

	private long highestFencing = -1;

	private EngineOrderMessage held;

	private long readyAtNanos;

	private long tick;

	private int reportedRunning;

	private int reportedWaiting;

	private long reportedAtNanos;

	private long tokensOut;

	/**
	 * Creates an engine.
	 * @param system the process's actor system
	 * @param instanceId its instance
	 * @param options how it behaves
	 * @param fabric the other engines of the process
	 * @param clock on which its tokens are timed
	 */
	public EngineStandIn(ActorSystem<?> system, String instanceId, EngineOptions options, EngineFabric fabric,
			ScheduledExecutorService clock) {
		super(system);
		this.instanceId = instanceId;
		this.options = options;
		this.fabric = fabric;
		this.clock = clock;
		this.cache = new PrefixCache(options.cachedPrefixes());
	}

	@Override
	public String start(int port) {
		final long periodMillis = Math.max(1, this.options.tokenMillis());
		this.ticking = this.clock.scheduleAtFixedRate(this::step, periodMillis, periodMillis, TimeUnit.MILLISECONDS);
		return super.start(port);
	}

	@Override
	public void stop() {
		if (this.ticking != null) {
			this.ticking.cancel(false);
		}
		super.stop();
	}

	/**
	 * Switches faults.
	 * @param newFaults the faults from now on
	 */
	public void faults(EngineFaults newFaults) {
		final String lostGroup;
		synchronized (this) {
			lostGroup = (newFaults.down() && this.held != null) ? this.held.groupId() : null;
			this.faults = newFaults;
		}
		if (lostGroup != null) {
			crashGroup(lostGroup);
		}
	}

	/**
	 * Returns how many tokens it generated.
	 * @return the tokens since the start
	 */
	public synchronized long tokensOut() {
		return this.tokensOut;
	}

	private void crashGroup(String groupId) {
		this.fabric.members(groupId).forEach(EngineStandIn::crash);
	}

	private synchronized void crash() {
		this.running.forEach((request) -> request.sink.fail());
		this.waiting.forEach((request) -> request.sink.fail());
		this.running.clear();
		this.waiting.clear();
		this.cache.clear();
		if (this.held != null) {
			this.fabric.leave(this.held.groupId(), this);
			this.held = null;
		}
	}

	@Override
	protected CompletionStage<HttpResponse> answer(HttpRequest request) {
		final String path = request.getUri().path();
		if (path.equals("/faults")) {
			return strict(request).thenApply((bytes) -> {
				faults(Json.read(bytes, EngineFaults.class));
				return Answers.json(200, Map.of());
			});
		}
		final EngineFaults now = currentFaults();
		if (now.down()) {
			return CompletableFuture.failedFuture(new IllegalStateException("down"));
		}
		if (now.paused()) {
			return new CompletableFuture<>();
		}
		return switch (path) {
			case "/engine/held" -> {
				request.discardEntityBytes(system());
				yield Answers.now(Answers.json(200, heldState()));
			}
			case "/engine/events" -> {
				request.discardEntityBytes(system());
				yield Answers
					.now(Answers.json(200, this.cache.events(Answers.queryLong(request.getUri().query(), "from", 0))));
			}
			case "/engine/orders" ->
				strict(request).thenApply((bytes) -> order(Json.read(bytes, EngineOrderMessage.class)));
			case "/v1/chat/completions" -> strict(request).thenApply((bytes) -> complete(request, bytes));
			default -> {
				request.discardEntityBytes(system());
				yield Answers.now(Answers.json(404, Map.of("error", "not_found")));
			}
		};
	}

	private synchronized EngineFaults currentFaults() {
		return this.faults;
	}

	private CompletionStage<byte[]> strict(HttpRequest request) {
		return request.entity()
			.toStrict(READ_TIMEOUT_MILLIS, system())
			.thenApply((entity) -> entity.getData().toArray());
	}

	private synchronized Map<String, Object> heldState() {
		final long nowNanos = System.nanoTime();
		if (nowNanos - this.reportedAtNanos > TimeUnit.MILLISECONDS.toNanos(this.options.reportLagMillis())) {
			this.reportedAtNanos = nowNanos;
			this.reportedRunning = this.running.size();
			this.reportedWaiting = this.waiting.size();
		}
		final Map<String, Object> state = new LinkedHashMap<>();
		state.put("instance_id", this.instanceId);
		state.put("group_id", (this.held != null) ? this.held.groupId() : "");
		state.put("fencing_number", (this.held != null) ? this.held.fencingNumber() : this.highestFencing);
		state.put("rank", (this.held != null) ? this.held.rank() : 0);
		state.put("model", (this.held != null) ? this.held.model() : "");
		state.put("phase", phase(nowNanos));
		state.put("running", this.reportedRunning);
		state.put("waiting", this.reportedWaiting);
		return state;
	}

	private String phase(long nowNanos) {
		if (this.held == null) {
			return "free";
		}
		return (nowNanos - this.readyAtNanos >= 0) ? "ready" : "loading";
	}

	private HttpResponse order(EngineOrderMessage order) {
		final String left;
		synchronized (this) {
			if (this.options.checksFencing() && order.fencingNumber() < this.highestFencing) {
				return Answers.json(409, Map.of("held_fencing_number", this.highestFencing));
			}
			this.highestFencing = Math.max(this.highestFencing, order.fencingNumber());
			if (order.equals(this.held)) {
				return Answers.json(200, Map.of());
			}
			left = (this.held != null) ? this.held.groupId() : null;
		}
		if (left != null) {
			crash();
		}
		synchronized (this) {
			if (order.kind().equals("load")) {
				this.held = order;
				this.readyAtNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(this.options.loadMillis());
				this.fabric.join(order.groupId(), this);
			}
			return Answers.json(200, Map.of());
		}
	}

	private HttpResponse complete(HttpRequest request, byte[] body) {
		final String attemptId = header(request, "Pistachioline-Attempt");
		final String groupId = header(request, "Pistachioline-Group");
		final String resumeFrom = header(request, "Pistachioline-Resume-From");
		final String priority = header(request, "Pistachioline-Priority");
		final EngineRequest completion = new EngineRequest(attemptId,
				resumeFrom.isEmpty() ? 0 : Integer.parseInt(resumeFrom),
				priority.isEmpty() ? 0 : Integer.parseInt(priority), Json.tree(body));
		if (completion.prompt.contains(KILLER_MARK)) {
			crashGroup(groupId);
			throw new IllegalStateException("crashed");
		}
		synchronized (this) {
			final boolean serves = this.held != null && phase(System.nanoTime()).equals("ready")
					&& (groupId.isEmpty() || groupId.equals(this.held.groupId()));
			if (!serves) {
				return Answers.json(409, Map.of("error", "not_held"));
			}
			final Source<ByteString, org.apache.pekko.NotUsed> source = sourceOf(completion);
			return HttpResponse.create()
				.withEntity(HttpEntities.createChunked(ContentTypes.create(MediaTypes.TEXT_EVENT_STREAM), source));
		}
	}

	private Source<ByteString, org.apache.pekko.NotUsed> sourceOf(EngineRequest completion) {
		return Source.<ByteString>queue(SINK_CAPACITY).mapMaterializedValue((queue) -> {
			completion.sink = new QueueSink(queue);
			synchronized (this) {
				this.waiting.add(completion);
			}
			return org.apache.pekko.NotUsed.getInstance();
		});
	}

	private void step() {
		synchronized (this) {
			this.tick++;
			final boolean still = this.faults.paused() || this.faults.down()
					|| this.tick % Math.max(1, this.faults.slowFactor()) != 0;
			if (still) {
				return;
			}
			final long nowNanos = System.nanoTime();
			this.waiting.removeIf((request) -> request.sink.isClosed());
			this.waiting.sort(Comparator.comparingInt((request) -> -request.priority));
			while (this.running.size() < this.options.batchSize() && !this.waiting.isEmpty()) {
				begin(nowNanos, this.waiting.remove(0));
			}
			final Iterator<EngineRequest> iterator = this.running.iterator();
			while (iterator.hasNext()) {
				if (advance(nowNanos, iterator.next())) {
					iterator.remove();
				}
			}
		}
	}

	private void begin(long nowNanos, EngineRequest request) {
		final int fresh = this.cache.uncachedTokens(request.prompt, nowNanos);
		final long prefillMillis = fresh / Math.max(1, this.options.prefillTokensPerMilli());
		request.readyAtNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(prefillMillis);
		this.running.add(request);
	}

	private boolean advance(long nowNanos, EngineRequest request) {
		if (request.sink.isClosed()) {
			return true;
		}
		if (nowNanos < request.readyAtNanos) {
			return false;
		}
		if (request.position >= request.maxTokens) {
			request.sink.offer(EngineEvents.end(request));
			request.sink.complete();
			return true;
		}
		if (request.sink.offer(EngineEvents.token(request))) {
			request.position++;
			this.tokensOut++;
		}
		return false;
	}

	private static String header(HttpRequest request, String name) {
		return request.getHeader(name).map((header) -> header.value()).orElse("");
	}

	private static final class QueueSink implements StreamSink {

		private final BoundedSourceQueue<ByteString> queue;

		QueueSink(BoundedSourceQueue<ByteString> queue) {
			this.queue = queue;
		}

		@Override
		public boolean offer(ByteString bytes) {
			return this.queue.offer(bytes) == QueueOfferResult.enqueued();
		}

		@Override
		public boolean isClosed() {
			return this.queue.isCompleted();
		}

		@Override
		public void complete() {
			this.queue.complete();
		}

		@Override
		public void fail() {
			if (!isClosed()) {
				this.queue.fail(new IllegalStateException("crashed"));
			}
		}

	}

}
