package org.pistachioline.core.queueing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.ToIntFunction;

import org.pistachioline.core.admission.Refusal;
import org.pistachioline.core.error.ErrorKind;
import org.pistachioline.core.manifest.Manifest;
import org.pistachioline.core.manifest.WorkspaceSpec;
import org.pistachioline.core.traffic.RequestInfo;
import org.pistachioline.core.traffic.TargetKind;

/**
 * Shares targets between workspaces by weight and refuses requests at once that would
 * miss their deadline.
 * <p>
 * The queue is made for overload. Between workspaces, requests are charged by their cost
 * in tokens rather than by their number, so that a workspace with long requests cannot
 * crowd out one with short requests. Within a workspace, priority and then the deadline
 * decide. A request that would be dispatched after its first-token deadline is refused on
 * arrival, together with the time after which it would be accepted: its caller can go
 * elsewhere or retry, whereas a request that waits in vain holds memory and is repeated.
 * The number of queued requests is bounded by the manifest for each workspace, and by a
 * fixed number for all workspaces together, since each request holds its body in memory.
 */
public final class FairQueue implements QueuePolicy {

	private static final double NANOS_PER_MILLI = 1e6;

	private static final long MIN_RETRY_MILLIS = 1_000;

	private static final long MAX_RETRY_MILLIS = 60_000;

	/**
	 * The number of prompt tokens that cost an engine as much time as one output token.
	 */
	private static final double PROMPT_TOKENS_PER_OUTPUT = 100;

	private final int maxRequests;

	private final QueueOrder order;

	private final RankOrder rankOrder;

	private final OutputLengthEstimator outputLengths = new OutputLengthEstimator();

	private final Map<String, StartTimeFairQueue> queues = new LinkedHashMap<>();

	private final Map<Long, QueuedRequest> queuedById = new HashMap<>();

	private final Map<Long, Double> chargedCosts = new HashMap<>();

	private final Map<String, Integer> queuedCounts = new HashMap<>();

	private Map<String, WorkspaceSpec> workspaces = Map.of();

	private long nextSequence;

	/**
	 * Creates an empty queue that orders the requests of a workspace by deadline.
	 * @param maxRequests the bound on queued requests of all workspaces
	 */
	public FairQueue(int maxRequests) {
		this(maxRequests, new DeadlineOrder());
	}

	/**
	 * Creates an empty queue.
	 * @param maxRequests the bound on queued requests of all workspaces
	 * @param order the order of requests within a workspace
	 */
	public FairQueue(int maxRequests, QueueOrder order) {
		this(maxRequests, order, null);
	}

	/**
	 * Creates an empty queue in which requests on time, and among these the more urgent
	 * ones, go first across workspaces; workspaces of equal rank are served by weight.
	 * @param maxRequests the bound on queued requests of all workspaces
	 * @param order the order of requests within a workspace
	 * @param hasRoomForLate returns whether the targets of a request have room for
	 * requests that are late
	 * @return the queue
	 */
	public static FairQueue byRank(int maxRequests, QueueOrder order, Predicate<RequestInfo> hasRoomForLate) {
		return new FairQueue(maxRequests, order, new RankOrder(order, hasRoomForLate));
	}

	private FairQueue(int maxRequests, QueueOrder order, RankOrder rankOrder) {
		this.maxRequests = maxRequests;
		this.order = order;
		this.rankOrder = rankOrder;
	}

	@Override
	public void configure(Manifest manifest) {
		final Map<String, WorkspaceSpec> next = new HashMap<>();
		manifest.workspaces().forEach((workspace) -> next.put(workspace.name(), workspace));
		this.workspaces = next;
		this.queues.values().forEach((queue) -> {
			queue.retainWorkspaces(next.keySet());
			queue.updateWeights(this::weight);
		});
	}

	@Override
	public Optional<Refusal> offer(long nowNanos, RequestInfo info) {
		final StartTimeFairQueue queue = this.queues.computeIfAbsent(queueName(info),
				(name) -> new StartTimeFairQueue(this.rankOrder));
		if (this.chargedCosts.remove(info.requestId()) != null) {
			queue.onFinished(nowNanos, info.workspace());
		}
		final double waitNanos = (this.rankOrder != null) ? queue.expectedWaitNanos(info.priority())
				: queue.expectedWaitNanos(info.workspace(), weight(info.workspace()));
		final WorkspaceSpec workspace = this.workspaces.get(info.workspace());
		final int maxQueued = (workspace != null) ? Math.min(workspace.queuedRequests(), this.maxRequests)
				: this.maxRequests;
		if (this.queuedCounts.getOrDefault(info.workspace(), 0) >= maxQueued
				|| this.queuedById.size() >= this.maxRequests) {
			return Optional.of(refusal(ErrorKind.QUEUE_FULL, info, waitNanos));
		}
		final long budgetNanos = info.firstTokenDeadlineNanos() - nowNanos;
		final double allowedNanos = queue.allowedWaitNanos(nowNanos, info.workspace(), budgetNanos)
				- queue.expectedFirstTokenNanos(budgetNanos);
		if (waitNanos > 0 && waitNanos > allowedNanos) {
			return Optional.of(refusal(ErrorKind.DEADLINE_UNREACHABLE, info, waitNanos - allowedNanos));
		}
		add(nowNanos, info, queue);
		return Optional.empty();
	}

	private void add(long nowNanos, RequestInfo info, StartTimeFairQueue queue) {
		final QueuedRequest entry = new QueuedRequest(info, this.nextSequence++, nowNanos,
				cost(info, this.outputLengths.estimateTokens(info)));
		this.queuedById.put(info.requestId(), entry);
		this.queuedCounts.merge(info.workspace(), 1, Integer::sum);
		queue.add(nowNanos, entry, weight(info.workspace()));
	}

	private static Refusal refusal(ErrorKind kind, RequestInfo info, double waitNanos) {
		return Refusal.withJitter(kind, info.requestId(), Math.max(MIN_RETRY_MILLIS, waitNanos / NANOS_PER_MILLI),
				MAX_RETRY_MILLIS);
	}

	@Override
	public Optional<RequestInfo> poll(long nowNanos, ToIntFunction<RequestInfo> freeSlots) {
		for (final StartTimeFairQueue queue : this.queues.values()) {
			// All requests of a queue can be placed at the same targets, so that the free
			// slots are looked up once for the queue and not for each request.
			final QueuedRequest next = queue.isEmpty() ? null
					: queue.dispatch(nowNanos, freeSlots.applyAsInt(queue.head().info()), this.order, this::weight);
			if (next != null) {
				unregister(next);
				this.chargedCosts.put(next.info().requestId(), next.cost());
				return Optional.of(next.info());
			}
		}
		return Optional.empty();
	}

	private void unregister(QueuedRequest entry) {
		this.queuedById.remove(entry.info().requestId());
		this.queuedCounts.computeIfPresent(entry.info().workspace(), (name, count) -> (count > 1) ? count - 1 : null);
	}

	@Override
	public List<RequestInfo> expire(long nowNanos) {
		if (this.queuedById.isEmpty()) {
			return List.of();
		}
		final List<RequestInfo> expired = new ArrayList<>();
		for (final StartTimeFairQueue queue : this.queues.values()) {
			for (final QueuedRequest request : queue.expired(nowNanos)) {
				remove(request.info().requestId());
				expired.add(request.info());
			}
		}
		return expired;
	}

	@Override
	public void remove(long requestId) {
		final QueuedRequest entry = this.queuedById.get(requestId);
		if (entry != null) {
			this.queues.get(queueName(entry.info())).remove(entry, weight(entry.info().workspace()));
			unregister(entry);
		}
	}

	@Override
	public void onFirstToken(long nowNanos, RequestInfo info, long sinceStartNanos) {
		final StartTimeFairQueue queue = this.queues.get(queueName(info));
		if (queue != null) {
			queue.onFirstToken(sinceStartNanos);
		}
	}

	@Override
	public void onEnded(long nowNanos, RequestInfo info, boolean complete, int outputTokens, long sinceStartNanos) {
		final Double chargedCost = this.chargedCosts.remove(info.requestId());
		final StartTimeFairQueue queue = this.queues.get(queueName(info));
		if (chargedCost == null || queue == null) {
			return;
		}
		queue.onFinished(nowNanos, info.workspace());
		if (complete) {
			this.outputLengths.addSample(info, outputTokens);
			final double cost = cost(info, outputTokens);
			queue.onCompleted(info.workspace(), cost, sinceStartNanos);
			queue.adjustCharge(info.workspace(), cost - chargedCost, weight(info.workspace()));
		}
	}

	private static double cost(RequestInfo info, double outputTokens) {
		return Math.max(1, outputTokens) + info.promptTokens() / PROMPT_TOKENS_PER_OUTPUT;
	}

	private double weight(String workspace) {
		final WorkspaceSpec spec = this.workspaces.get(workspace);
		return (spec != null && spec.weight() > 0) ? spec.weight() : 1;
	}

	private static String queueName(RequestInfo info) {
		return (info.targetKind() == TargetKind.MODEL) ? info.name() : "service:" + info.name();
	}

	@Override
	public int size() {
		return this.queuedById.size();
	}

}
