package org.pistachioline.core.queueing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.ToDoubleFunction;

/**
 * The queue before one model or service, fair between workspaces by start-time fair
 * queueing.
 * <p>
 * A workspace's next request starts, in virtual time, where its last one ended; the one
 * that starts first goes first. One that was idle starts at the present, so it goes next
 * and has saved up nothing.
 */
final class StartTimeFairQueue {

	/** Work that holds a slot for longer is not to fill all slots. */
	private static final double LONG_SERVICE_NANOS = 10e9;

	private static final double SERVED_DECAY_RATIO = 0.98;

	private static final double SAMPLE_WEIGHT = 0.1;

	private static final double DEVIATION_FACTOR = 2;

	/** The part of a deadline that is kept for the first token at most. */
	private static final double MAX_FIRST_TOKEN_RATIO = 0.5;

	private final Map<String, Flow> flows = new HashMap<>();

	private final TreeSet<Flow> backlogged = new TreeSet<>(Flow.BY_START_TAG);

	private final TreeSet<QueuedRequest> byDeadline = new TreeSet<>(QueuedRequest.BY_DEADLINE);

	private final SlotReserve reserve = new SlotReserve();

	private double virtualTime;

	private double backloggedWeight;

	private double backloggedCost;

	private int running;

	private double servedNanos;

	private double servedCost;

	private double firstTokenMeanNanos;

	private double firstTokenDeviationNanos;

	private boolean hasLongService(Flow flow) {
		final double nanos = (flow.meanServiceNanos() > 0 || this.servedCost == 0) ? flow.meanServiceNanos()
				: flow.lastQueuedCost * this.servedNanos / this.servedCost;
		return nanos >= LONG_SERVICE_NANOS;
	}

	boolean isEmpty() {
		return this.backlogged.isEmpty();
	}

	int queuedCount(String workspace) {
		final Flow flow = this.flows.get(workspace);
		return (flow != null) ? flow.queue.size() : 0;
	}

	void add(long nowNanos, QueuedRequest waiting, double weight) {
		final Flow flow = this.flows.computeIfAbsent(waiting.info().workspace(), Flow::new);
		if (flow.queue.isEmpty()) {
			flow.startTag = Math.max(this.virtualTime, flow.finishTag);
			this.backlogged.add(flow);
			this.backloggedWeight += weight;
		}
		flow.updateDemand(nowNanos);
		flow.lastQueuedCost = waiting.cost();
		flow.queue.add(waiting);
		flow.queuedCost += waiting.cost();
		this.backloggedCost += waiting.cost();
		this.byDeadline.add(waiting);
	}

	QueuedRequest head() {
		return this.backlogged.first().queue.first();
	}

	/**
	 * Takes the next request out.
	 * @param nowNanos the monotonic time
	 * @param freeSlots how many could start now
	 * @param order who goes first within a workspace
	 * @param weights the weights of workspaces
	 * @return the request; null where none may start
	 */
	QueuedRequest dispatch(long nowNanos, int freeSlots, QueueOrder order, ToDoubleFunction<String> weights) {
		if (freeSlots <= 0) {
			return null;
		}
		for (final Flow flow : this.backlogged) {
			if (freeSlots > this.reserve.reservedSlots(nowNanos, flow, hasLongService(flow), freeSlots + this.running,
					this.flows.values(), weights)) {
				return dispatch(nowNanos, flow, order, weights.applyAsDouble(flow.workspace));
			}
		}
		return null;
	}

	private QueuedRequest dispatch(long nowNanos, Flow flow, QueueOrder order, double weight) {
		this.backlogged.remove(flow);
		flow.updateDemand(nowNanos);
		final QueuedRequest waiting = order.next(nowNanos, (long) this.firstTokenMeanNanos, flow.queue);
		flow.queue.remove(waiting);
		this.virtualTime = Math.max(this.virtualTime, flow.startTag);
		flow.finishTag = flow.startTag + waiting.cost() / weight;
		flow.startTag = flow.finishTag;
		flow.onDispatch(nowNanos, waiting);
		subtractFromTotals(flow, waiting);
		if (flow.queue.isEmpty()) {
			this.backloggedWeight -= weight;
		}
		else {
			this.backlogged.add(flow);
		}
		flow.running++;
		this.running++;
		return waiting;
	}

	void remove(QueuedRequest waiting, double weight) {
		final Flow flow = this.flows.get(waiting.info().workspace());
		if (flow == null || !flow.queue.remove(waiting)) {
			return;
		}
		subtractFromTotals(flow, waiting);
		if (flow.queue.isEmpty()) {
			this.backlogged.remove(flow);
			this.backloggedWeight -= weight;
		}
	}

	private void subtractFromTotals(Flow flow, QueuedRequest waiting) {
		flow.queuedCost = flow.queue.isEmpty() ? 0 : flow.queuedCost - waiting.cost();
		this.byDeadline.remove(waiting);
		this.backloggedCost = this.byDeadline.isEmpty() ? 0 : this.backloggedCost - waiting.cost();
	}

	/**
	 * Corrects the charge of a request by what it cost in truth.
	 * @param workspace its workspace
	 * @param missingCost what it cost more than it was charged; negative where less
	 * @param weight the workspace's weight
	 */
	void adjustCharge(String workspace, double missingCost, double weight) {
		final Flow flow = this.flows.get(workspace);
		if (flow == null) {
			return;
		}
		final boolean queued = this.backlogged.remove(flow);
		flow.finishTag += missingCost / weight;
		// Never before the present: a workspace must not save up service.
		flow.startTag = Math.max(this.virtualTime, flow.startTag + missingCost / weight);
		if (queued) {
			this.backlogged.add(flow);
		}
	}

	void onFinished(long nowNanos, String workspace) {
		this.running--;
		final Flow flow = this.flows.get(workspace);
		if (flow != null) {
			flow.updateDemand(nowNanos);
			flow.running--;
		}
	}

	void onCompleted(String workspace, double cost, long sinceStartNanos) {
		final Flow flow = this.flows.get(workspace);
		if (flow != null) {
			flow.onCompleted(sinceStartNanos);
		}
		this.servedNanos = this.servedNanos * SERVED_DECAY_RATIO + sinceStartNanos;
		this.servedCost = this.servedCost * SERVED_DECAY_RATIO + cost;
	}

	void onFirstToken(long sinceStartNanos) {
		if (this.firstTokenMeanNanos == 0) {
			this.firstTokenMeanNanos = sinceStartNanos;
		}
		final double error = sinceStartNanos - this.firstTokenMeanNanos;
		this.firstTokenMeanNanos += SAMPLE_WEIGHT * error;
		this.firstTokenDeviationNanos += SAMPLE_WEIGHT * (Math.abs(error) - this.firstTokenDeviationNanos);
	}

	/**
	 * Returns how long a new request would wait, by Little's law: what runs at once, over
	 * the time that a token takes, is the rate at which the queue is served.
	 * @param workspace its workspace
	 * @param weight the workspace's weight
	 * @return the time, in nanoseconds; 0 where nothing waits or nothing is known
	 */
	double expectedWaitNanos(String workspace, double weight) {
		if (this.backlogged.isEmpty() || this.servedCost == 0 || this.running == 0) {
			return 0;
		}
		final double costPerNano = this.running * this.servedCost / this.servedNanos;
		final Flow flow = this.flows.get(workspace);
		final boolean queued = flow != null && !flow.queue.isEmpty();
		final double weights = queued ? this.backloggedWeight : this.backloggedWeight + weight;
		final double ownCost = queued ? flow.queuedCost : 0;
		return Math.min(this.backloggedCost, ownCost * weights / weight) / costPerNano;
	}

	double expectedFirstTokenNanos(long budgetNanos) {
		return Math.min(MAX_FIRST_TOKEN_RATIO * budgetNanos,
				this.firstTokenMeanNanos + DEVIATION_FACTOR * this.firstTokenDeviationNanos);
	}

	double allowedWaitNanos(long nowNanos, String workspace, long budgetNanos) {
		final Flow flow = this.flows.get(workspace);
		return (flow != null) ? flow.allowedWaitNanos(nowNanos, budgetNanos) : budgetNanos;
	}

	List<QueuedRequest> expired(long nowNanos) {
		final List<QueuedRequest> late = new ArrayList<>();
		for (final QueuedRequest waiting : this.byDeadline) {
			final long deadlineNanos = waiting.info().firstTokenDeadlineNanos();
			if (nowNanos + expectedFirstTokenNanos(deadlineNanos - waiting.queuedAtNanos()) < deadlineNanos) {
				break;
			}
			late.add(waiting);
		}
		return late;
	}

	void retainWorkspaces(Set<String> workspaces) {
		this.flows.values()
			.removeIf((flow) -> flow.queue.isEmpty() && flow.running == 0 && !workspaces.contains(flow.workspace));
	}

	void updateWeights(ToDoubleFunction<String> weights) {
		this.backloggedWeight = this.backlogged.stream()
			.mapToDouble((flow) -> weights.applyAsDouble(flow.workspace))
			.sum();
	}

}
