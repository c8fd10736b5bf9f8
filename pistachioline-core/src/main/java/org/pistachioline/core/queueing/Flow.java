package org.pistachioline.core.queueing;

import java.util.Comparator;
import java.util.TreeSet;

/**
 * The requests of one workspace that wait for one model or service.
 * <p>
 * A standing queue, which never drains, adds its length to the wait of every request
 * without raising throughput. The wait of the dispatched requests is therefore monitored:
 * a burst may use the whole deadline, but once requests have been dispatched late for a
 * while, the flow accepts only requests with a short expected wait.
 */
final class Flow {

	/** The order in which workspaces are served. */
	static final Comparator<Flow> BY_START_TAG = Comparator.comparingDouble((Flow flow) -> flow.startTag)
		.thenComparing((flow) -> flow.workspace);

	private static final long STANDING_NANOS = 2_000_000_000L;

	/** The part of its deadline that a request may wait in a standing queue. */
	private static final double STANDING_WAIT_RATIO = 0.25;

	final String workspace;

	final TreeSet<QueuedRequest> queue = new TreeSet<>(QueuedRequest.BY_URGENCY);

	double startTag;

	double finishTag;

	double queuedCost;

	double lastQueuedCost;

	int running;

	private double meanDemand;

	private double meanServiceNanos;

	private long observedAtNanos;

	private long lateSinceNanos;

	/**
	 * The part of its deadline below which the wait of a dispatched request shows that
	 * the queue no longer stands.
	 */
	private static final double DRAINED_WAIT_RATIO = 0.05;

	/** The time constant of the demand average. */
	private static final double DEMAND_WINDOW_NANOS = 10e9;

	private static final double SAMPLE_WEIGHT = 0.1;

	Flow(String workspace) {
		this.workspace = workspace;
	}

	/**
	 * Updates the average number of requests of the workspace that run or wait to run.
	 * @param nowNanos the monotonic time
	 */
	void updateDemand(long nowNanos) {
		this.meanDemand = demand(nowNanos);
		this.observedAtNanos = nowNanos;
	}

	/**
	 * Returns the average number of requests of the workspace that run or wait to run.
	 * @param nowNanos the monotonic time
	 * @return the exponentially weighted average over about ten seconds
	 */
	double demand(long nowNanos) {
		final double wanted = this.running + this.queue.size();
		return wanted + (this.meanDemand - wanted) * Math.exp(-(nowNanos - this.observedAtNanos) / DEMAND_WINDOW_NANOS);
	}

	void onCompleted(long sinceStartNanos) {
		this.meanServiceNanos = (this.meanServiceNanos == 0) ? sinceStartNanos
				: this.meanServiceNanos + SAMPLE_WEIGHT * (sinceStartNanos - this.meanServiceNanos);
	}

	/**
	 * Returns how long a request of the workspace holds a slot.
	 * @return the mean, in nanoseconds; 0 where it is not known
	 */
	double meanServiceNanos() {
		return this.meanServiceNanos;
	}

	void onDispatch(long nowNanos, QueuedRequest request) {
		final long budgetNanos = request.info().firstTokenDeadlineNanos() - request.queuedAtNanos();
		final boolean late = nowNanos - request.queuedAtNanos() > STANDING_WAIT_RATIO * budgetNanos;
		if (nowNanos - request.queuedAtNanos() < DRAINED_WAIT_RATIO * budgetNanos) {
			this.lateSinceNanos = 0;
		}
		else if (late && this.lateSinceNanos == 0) {
			this.lateSinceNanos = nowNanos;
		}
	}

	double allowedWaitNanos(long nowNanos, long budgetNanos) {
		final boolean standing = !this.queue.isEmpty() && this.lateSinceNanos != 0
				&& nowNanos - this.lateSinceNanos > STANDING_NANOS;
		return standing ? STANDING_WAIT_RATIO * budgetNanos : budgetNanos;
	}

}
