package org.pistachioline.core.queueing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.ToDoubleFunction;

/**
 * The queue of one model or service, which is shared between workspaces by start-time
 * fair queueing.
 * <p>
 * A workspace's next request starts, in virtual time, where its previous one finished,
 * and the workspace with the earliest start goes next. A workspace that was idle starts
 * at the current virtual time: it goes next, but has not accumulated credit.
 */
final class StartTimeFairQueue {

	/** The service time from which requests may not occupy all slots. */
	private static final double LONG_SERVICE_NANOS = 10e9;

	private static final double SERVED_DECAY_RATIO = 0.98;

	private static final double SAMPLE_WEIGHT = 0.1;

	private static final double DEVIATION_FACTOR = 2;

	/**
	 * The largest part of a deadline that is reserved for the time to the first token.
	 */
	private static final double MAX_FIRST_TOKEN_RATIO = 0.5;

	private final Map<String, Flow> flows = new HashMap<>();

	private final TreeSet<Flow> backlogged = new TreeSet<>(Flow.BY_START_TAG);

	private final TreeSet<QueuedRequest> byDeadline = new TreeSet<>(QueuedRequest.BY_DEADLINE);

	private final SlotReserve reserve = new SlotReserve();

	/** The order that also applies across workspaces; null if workspaces go first. */
	private final RankOrder rankOrder;

	private double virtualTime;

	private double backloggedWeight;

	private double backloggedCost;

	private int running;

	private double servedNanos;

	private double servedCost;

	private double firstTokenMeanNanos;

	private double firstTokenDeviationNanos;

	/**
	 * Creates an empty queue.
	 * @param rankOrder the order across workspaces; null if workspaces go first
	 */
	StartTimeFairQueue(RankOrder rankOrder) {
		this.rankOrder = rankOrder;
	}

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

	void add(long nowNanos, QueuedRequest request, double weight) {
		final Flow flow = this.flows.computeIfAbsent(request.info().workspace(), Flow::new);
		if (flow.queue.isEmpty()) {
			flow.startTag = Math.max(this.virtualTime, flow.finishTag);
			this.backlogged.add(flow);
			this.backloggedWeight += weight;
		}
		flow.updateDemand(nowNanos);
		flow.lastQueuedCost = request.cost();
		flow.queue.add(request);
		flow.queuedCost += request.cost();
		this.backloggedCost += request.cost();
		this.byDeadline.add(request);
	}

	QueuedRequest head() {
		return this.backlogged.first().queue.first();
	}

	/**
	 * Removes the next request that may start.
	 * @param nowNanos the monotonic time
	 * @param freeSlots the number of requests that could start now
	 * @param order the order of requests within a workspace
	 * @param weights the weights of the workspaces
	 * @return the request; null where none may start
	 */
	QueuedRequest dispatch(long nowNanos, int freeSlots, QueueOrder order, ToDoubleFunction<String> weights) {
		if (freeSlots <= 0) {
			return null;
		}
		for (final Flow flow : flowsInOrder(nowNanos)) {
			if (freeSlots > this.reserve.reservedSlots(nowNanos, flow, hasLongService(flow), freeSlots + this.running,
					this.flows.values(), weights)) {
				return dispatch(nowNanos, flow, order, weights.applyAsDouble(flow.workspace));
			}
		}
		return null;
	}

	private Collection<Flow> flowsInOrder(long nowNanos) {
		return (this.rankOrder == null || this.backlogged.size() < 2) ? this.backlogged
				: this.rankOrder.sort(nowNanos, (long) this.firstTokenMeanNanos, this.backlogged);
	}

	private QueuedRequest dispatch(long nowNanos, Flow flow, QueueOrder order, double weight) {
		this.backlogged.remove(flow);
		flow.updateDemand(nowNanos);
		final QueuedRequest request = order.next(nowNanos, (long) this.firstTokenMeanNanos, flow.queue);
		flow.queue.remove(request);
		this.virtualTime = Math.max(this.virtualTime, flow.startTag);
		flow.finishTag = flow.startTag + request.cost() / weight;
		flow.startTag = flow.finishTag;
		flow.onDispatch(nowNanos, request);
		subtractFromTotals(flow, request);
		if (flow.queue.isEmpty()) {
			this.backloggedWeight -= weight;
		}
		else {
			this.backlogged.add(flow);
		}
		flow.running++;
		this.running++;
		return request;
	}

	void remove(QueuedRequest request, double weight) {
		final Flow flow = this.flows.get(request.info().workspace());
		if (flow == null || !flow.queue.remove(request)) {
			return;
		}
		subtractFromTotals(flow, request);
		if (flow.queue.isEmpty()) {
			this.backlogged.remove(flow);
			this.backloggedWeight -= weight;
		}
	}

	private void subtractFromTotals(Flow flow, QueuedRequest request) {
		flow.queuedCost = flow.queue.isEmpty() ? 0 : flow.queuedCost - request.cost();
		this.byDeadline.remove(request);
		this.backloggedCost = this.byDeadline.isEmpty() ? 0 : this.backloggedCost - request.cost();
	}

	/**
	 * Adjusts the charge of a completed request to its actual cost.
	 * @param workspace the request's workspace
	 * @param missingCost the actual cost less the charged cost; negative where the charge
	 * was too high
	 * @param weight the workspace's weight
	 */
	void adjustCharge(String workspace, double missingCost, double weight) {
		final Flow flow = this.flows.get(workspace);
		if (flow == null) {
			return;
		}
		final boolean queued = this.backlogged.remove(flow);
		flow.finishTag += missingCost / weight;
		// The start never lies before the current virtual time, since a workspace must
		// not accumulate credit.
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
	 * Returns how long a new request is expected to wait. By Little's law, the service
	 * rate of the queue is the number of running requests, divided by the time that they
	 * take for a unit of cost.
	 * @param workspace the request's workspace
	 * @param weight the workspace's weight
	 * @return the time, in nanoseconds; 0 where no request waits or the service rate is
	 * not known
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

	/**
	 * Returns how long a new request is expected to wait where the more urgent ones go
	 * first.
	 * @param priority the request's priority
	 * @return the time, in nanoseconds; 0 where no request waits or the service rate is
	 * not known
	 */
	double expectedWaitNanos(int priority) {
		if (this.backlogged.isEmpty() || this.servedCost == 0 || this.running == 0) {
			return 0;
		}
		double costAhead = 0;
		for (final QueuedRequest queued : this.byDeadline) {
			costAhead += (queued.info().priority() >= priority) ? queued.cost() : 0;
		}
		return costAhead * this.servedNanos / (this.running * this.servedCost);
	}

	double expectedFirstTokenNanos(long budgetNanos) {
		return Math.min(MAX_FIRST_TOKEN_RATIO * budgetNanos,
				this.firstTokenMeanNanos + DEVIATION_FACTOR * this.firstTokenDeviationNanos);
	}

	double allowedWaitNanos(long nowNanos, String workspace, long budgetNanos) {
		if (this.rankOrder != null) {
			return RankOrder.MAX_WAIT_RATIO * budgetNanos + expectedFirstTokenNanos(budgetNanos);
		}
		final Flow flow = this.flows.get(workspace);
		return (flow != null) ? flow.allowedWaitNanos(nowNanos, budgetNanos) : budgetNanos;
	}

	List<QueuedRequest> expired(long nowNanos) {
		if (this.rankOrder != null) {
			return this.rankOrder.expired(nowNanos, (long) this.firstTokenMeanNanos, this.byDeadline);
		}
		final List<QueuedRequest> expired = new ArrayList<>();
		for (final QueuedRequest request : this.byDeadline) {
			final long deadlineNanos = request.info().firstTokenDeadlineNanos();
			if (nowNanos + expectedFirstTokenNanos(deadlineNanos - request.queuedAtNanos()) < deadlineNanos) {
				break;
			}
			expired.add(request);
		}
		return expired;
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
