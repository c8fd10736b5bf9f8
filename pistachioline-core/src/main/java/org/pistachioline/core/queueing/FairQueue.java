package org.pistachioline.core.queueing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.ToIntFunction;

import org.pistachioline.core.admission.Refusal;
import org.pistachioline.core.error.ErrorKind;
import org.pistachioline.core.manifest.Manifest;
import org.pistachioline.core.manifest.WorkspaceSpec;
import org.pistachioline.core.traffic.RequestInfo;
import org.pistachioline.core.traffic.TargetKind;

/**
 * Shares targets between workspaces by weight and refuses at once what would be late.
 * <p>
 * Made for the hour in which everyone comes at once. Between workspaces the cost in
 * tokens counts, not the number of requests, so that one with long work cannot crowd out
 * one with short; within a workspace, priority and then the deadline. A request whose
 * turn would come after its first-token deadline is refused when it arrives, with the
 * time after which it would not be: a caller that is told so at once can go elsewhere or
 * come back, while one that waits in vain holds memory and calls again. Each workspace
 * may hold the number of requests that its manifest names, and all together a fixed
 * number, since each holds its body in memory.
 */
public final class FairQueue implements QueuePolicy {

	private static final double NANOS_PER_MILLI = 1e6;

	private static final long MIN_RETRY_MILLIS = 1_000;

	private static final long MAX_RETRY_MILLIS = 60_000;

	/** How many prompt tokens take an engine as long as one output token. */
	private static final double PROMPT_TOKENS_PER_OUTPUT = 100;

	private final int maxRequests;

	private final QueueOrder order;

	private final OutputLengthEstimator outputLengths = new OutputLengthEstimator();

	private final Map<String, StartTimeFairQueue> queues = new LinkedHashMap<>();

	private final Map<Long, QueuedRequest> queuedById = new HashMap<>();

	private final Map<Long, Double> chargedCosts = new HashMap<>();

	private final Map<String, Integer> queuedCounts = new HashMap<>();

	private Map<String, WorkspaceSpec> workspaces = Map.of();

	private long nextSequence;

	/**
	 * Creates an empty queue in which deadlines decide within a workspace.
	 * @param maxRequests how many requests may wait in all
	 */
	public FairQueue(int maxRequests) {
		this(maxRequests, new DeadlineOrder());
	}

	/**
	 * Creates an empty queue.
	 * @param maxRequests how many requests may wait in all
	 * @param order who goes first within a workspace
	 */
	public FairQueue(int maxRequests, QueueOrder order) {
		this.maxRequests = maxRequests;
		this.order = order;
	}

	@Override
	public void configure(Manifest manifest) {
		final Map<String, WorkspaceSpec> next = new HashMap<>();
		manifest.workspaces().forEach((workspace) -> next.put(workspace.name(), workspace));
		this.workspaces = next;
		this.queues.values().forEach((lane) -> {
			lane.retainWorkspaces(next.keySet());
			lane.updateWeights(this::weight);
		});
	}

	@Override
	public Optional<Refusal> offer(long nowNanos, RequestInfo info) {
		final StartTimeFairQueue lane = this.queues.computeIfAbsent(queueName(info),
				(name) -> new StartTimeFairQueue());
		if (this.chargedCosts.remove(info.requestId()) != null) {
			lane.onFinished(nowNanos, info.workspace());
		}
		final double waitNanos = lane.expectedWaitNanos(info.workspace(), weight(info.workspace()));
		final WorkspaceSpec workspace = this.workspaces.get(info.workspace());
		final int most = (workspace != null) ? Math.min(workspace.queuedRequests(), this.maxRequests)
				: this.maxRequests;
		if (this.queuedCounts.getOrDefault(info.workspace(), 0) >= most || this.queuedById.size() >= this.maxRequests) {
			return Optional.of(refusal(ErrorKind.QUEUE_FULL, info, waitNanos));
		}
		final long budgetNanos = info.firstTokenDeadlineNanos() - nowNanos;
		final double allowedNanos = lane.allowedWaitNanos(nowNanos, info.workspace(), budgetNanos)
				- lane.expectedFirstTokenNanos(budgetNanos);
		if (waitNanos > 0 && waitNanos > allowedNanos) {
			return Optional.of(refusal(ErrorKind.DEADLINE_UNREACHABLE, info, waitNanos - allowedNanos));
		}
		add(nowNanos, info, lane);
		return Optional.empty();
	}

	private void add(long nowNanos, RequestInfo info, StartTimeFairQueue lane) {
		final QueuedRequest entry = new QueuedRequest(info, this.nextSequence++, nowNanos,
				cost(info, this.outputLengths.estimateTokens(info)));
		this.queuedById.put(info.requestId(), entry);
		this.queuedCounts.merge(info.workspace(), 1, Integer::sum);
		lane.add(nowNanos, entry, weight(info.workspace()));
	}

	private static Refusal refusal(ErrorKind kind, RequestInfo info, double waitNanos) {
		return Refusal.withJitter(kind, info.requestId(), Math.max(MIN_RETRY_MILLIS, waitNanos / NANOS_PER_MILLI),
				MAX_RETRY_MILLIS);
	}

	@Override
	public Optional<RequestInfo> poll(long nowNanos, ToIntFunction<RequestInfo> freeSlots) {
		for (final StartTimeFairQueue lane : this.queues.values()) {
			// All requests of a lane can be placed at the same targets, so its head is
			// asked for all: a full model costs one question and not one a request.
			final QueuedRequest next = lane.isEmpty() ? null
					: lane.dispatch(nowNanos, freeSlots.applyAsInt(lane.head().info()), this.order, this::weight);
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
		for (final StartTimeFairQueue lane : this.queues.values()) {
			for (final QueuedRequest late : lane.expired(nowNanos)) {
				remove(late.info().requestId());
				expired.add(late.info());
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
		final StartTimeFairQueue lane = this.queues.get(queueName(info));
		if (lane != null) {
			lane.onFirstToken(sinceStartNanos);
		}
	}

	@Override
	public void onEnded(long nowNanos, RequestInfo info, boolean complete, int outputTokens, long sinceStartNanos) {
		final Double charged = this.chargedCosts.remove(info.requestId());
		final StartTimeFairQueue lane = this.queues.get(queueName(info));
		if (charged == null || lane == null) {
			return;
		}
		lane.onFinished(nowNanos, info.workspace());
		if (complete) {
			this.outputLengths.addSample(info, outputTokens);
			final double cost = cost(info, outputTokens);
			lane.onCompleted(info.workspace(), cost, sinceStartNanos);
			lane.adjustCharge(info.workspace(), cost - charged, weight(info.workspace()));
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
