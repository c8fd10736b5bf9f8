package org.pistachioline.core.queueing;

import java.util.Comparator;
import java.util.TreeSet;

/**
 * The requests of one workspace that wait for one model or service.
 * <p>
 * A queue that never empties adds its length to every wait and carries nothing more. So
 * it is watched for how long its head has waited: a burst may use the whole deadline, but
 * once the head was late for a while, the queue takes no more than a short wait.
 */
final class Flow {

	/** Who goes first between workspaces. */
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

	/** A queue whose head waited less than this part of its deadline stands no more. */
	private static final double DRAINED_WAIT_RATIO = 0.05;

	/** The time over which demand is averaged. */
	private static final double DEMAND_WINDOW_NANOS = 10e9;

	private static final double SAMPLE_WEIGHT = 0.1;

	Flow(String workspace) {
		this.workspace = workspace;
	}

	/**
	 * Averages how many requests of the workspace want to run at once.
	 * @param nowNanos the monotonic time
	 */
	void updateDemand(long nowNanos) {
		this.meanDemand = demand(nowNanos);
		this.observedAtNanos = nowNanos;
	}

	/**
	 * Returns the mean number of requests that want to run at once.
	 * @param nowNanos the monotonic time
	 * @return the mean over the last seconds
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
	 * Returns how long one request of the workspace holds a slot.
	 * @return the mean, in nanoseconds; 0 where it is not known
	 */
	double meanServiceNanos() {
		return this.meanServiceNanos;
	}

	void onDispatch(long nowNanos, QueuedRequest waiting) {
		final long budgetNanos = waiting.info().firstTokenDeadlineNanos() - waiting.queuedAtNanos();
		final boolean late = nowNanos - waiting.queuedAtNanos() > STANDING_WAIT_RATIO * budgetNanos;
		if (nowNanos - waiting.queuedAtNanos() < DRAINED_WAIT_RATIO * budgetNanos) {
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
