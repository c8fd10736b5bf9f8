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

	private static final long LEAST_RETRY_MILLIS = 1_000;

	private static final long MOST_RETRY_MILLIS = 60_000;

	/** How many prompt tokens take an engine as long as one output token. */
	private static final double PROMPT_TOKENS_PER_OUTPUT = 100;

	private final int maxRequests;

	private final WaitingOrder order;

	private final OutputEstimates estimates = new OutputEstimates();

	private final Map<String, Lane> lanes = new LinkedHashMap<>();

	private final Map<Long, Waiting> waiting = new HashMap<>();

	private final Map<Long, Double> running = new HashMap<>();

	private final Map<String, Integer> counts = new HashMap<>();

	private Map<String, WorkspaceSpec> workspaces = Map.of();

	private long sequence;

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
	public FairQueue(int maxRequests, WaitingOrder order) {
		this.maxRequests = maxRequests;
		this.order = order;
	}

	@Override
	public void configure(Manifest manifest) {
		final Map<String, WorkspaceSpec> next = new HashMap<>();
		manifest.workspaces().forEach((workspace) -> next.put(workspace.name(), workspace));
		this.workspaces = next;
		this.lanes.values().forEach((lane) -> {
			lane.retain(next.keySet());
			lane.reweigh(this::weight);
		});
	}

	@Override
	public Optional<Refusal> offer(long nowNanos, RequestInfo info) {
		final Lane lane = this.lanes.computeIfAbsent(laneName(info), (name) -> new Lane());
		if (this.running.remove(info.requestId()) != null) {
			lane.onStopped(nowNanos, info.workspace());
		}
		final double waitNanos = lane.expectedWaitNanos(info.workspace(), weight(info.workspace()));
		final WorkspaceSpec workspace = this.workspaces.get(info.workspace());
		final int most = (workspace != null) ? Math.min(workspace.queuedRequests(), this.maxRequests)
				: this.maxRequests;
		if (this.counts.getOrDefault(info.workspace(), 0) >= most || this.waiting.size() >= this.maxRequests) {
			return Optional.of(refusal(ErrorKind.QUEUE_FULL, info, waitNanos));
		}
		final long budgetNanos = info.firstTokenDeadlineNanos() - nowNanos;
		final double allowedNanos = lane.allowedWaitNanos(nowNanos, info.workspace(), budgetNanos)
				- lane.firstTokenNanos(budgetNanos);
		if (waitNanos > 0 && waitNanos > allowedNanos) {
			return Optional.of(refusal(ErrorKind.DEADLINE_UNREACHABLE, info, waitNanos - allowedNanos));
		}
		add(nowNanos, info, lane);
		return Optional.empty();
	}

	private void add(long nowNanos, RequestInfo info, Lane lane) {
		final Waiting entry = new Waiting(info, this.sequence++, nowNanos,
				cost(info, this.estimates.outputTokens(info)));
		this.waiting.put(info.requestId(), entry);
		this.counts.merge(info.workspace(), 1, Integer::sum);
		lane.add(nowNanos, entry, weight(info.workspace()));
	}

	private static Refusal refusal(ErrorKind kind, RequestInfo info, double waitNanos) {
		return Refusal.spread(kind, info.requestId(), Math.max(LEAST_RETRY_MILLIS, waitNanos / NANOS_PER_MILLI),
				MOST_RETRY_MILLIS);
	}

	@Override
	public Optional<RequestInfo> poll(long nowNanos, ToIntFunction<RequestInfo> freeSlots) {
		for (final Lane lane : this.lanes.values()) {
			// All requests of a lane can be placed at the same targets, so its head is
			// asked for all: a full model costs one question and not one a request.
			final Waiting next = lane.isEmpty() ? null
					: lane.dispatch(nowNanos, freeSlots.applyAsInt(lane.head().info()), this.order, this::weight);
			if (next != null) {
				leave(next);
				this.running.put(next.info().requestId(), next.cost());
				return Optional.of(next.info());
			}
		}
		return Optional.empty();
	}

	private void leave(Waiting entry) {
		this.waiting.remove(entry.info().requestId());
		this.counts.computeIfPresent(entry.info().workspace(), (name, count) -> (count > 1) ? count - 1 : null);
	}

	@Override
	public List<RequestInfo> expire(long nowNanos) {
		if (this.waiting.isEmpty()) {
			return List.of();
		}
		final List<RequestInfo> expired = new ArrayList<>();
		for (final Lane lane : this.lanes.values()) {
			for (final Waiting late : lane.late(nowNanos)) {
				remove(late.info().requestId());
				expired.add(late.info());
			}
		}
		return expired;
	}

	@Override
	public void remove(long requestId) {
		final Waiting entry = this.waiting.get(requestId);
		if (entry != null) {
			this.lanes.get(laneName(entry.info())).remove(entry, weight(entry.info().workspace()));
			leave(entry);
		}
	}

	@Override
	public void onFirstToken(long nowNanos, RequestInfo info, long sinceStartNanos) {
		final Lane lane = this.lanes.get(laneName(info));
		if (lane != null) {
			lane.onFirstToken(sinceStartNanos);
		}
	}

	@Override
	public void onEnded(long nowNanos, RequestInfo info, boolean complete, int outputTokens, long sinceStartNanos) {
		final Double charged = this.running.remove(info.requestId());
		final Lane lane = this.lanes.get(laneName(info));
		if (charged == null || lane == null) {
			return;
		}
		lane.onStopped(nowNanos, info.workspace());
		if (complete) {
			this.estimates.learn(info, outputTokens);
			final double cost = cost(info, outputTokens);
			lane.onServed(info.workspace(), cost, sinceStartNanos);
			lane.correct(info.workspace(), cost - charged, weight(info.workspace()));
		}
	}

	private static double cost(RequestInfo info, double outputTokens) {
		return Math.max(1, outputTokens) + info.promptTokens() / PROMPT_TOKENS_PER_OUTPUT;
	}

	private double weight(String workspace) {
		final WorkspaceSpec spec = this.workspaces.get(workspace);
		return (spec != null && spec.weight() > 0) ? spec.weight() : 1;
	}

	private static String laneName(RequestInfo info) {
		return (info.targetKind() == TargetKind.MODEL) ? info.name() : "service:" + info.name();
	}

	@Override
	public int size() {
		return this.waiting.size();
	}

}
