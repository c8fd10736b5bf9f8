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
	static final Comparator<Flow> BY_START = Comparator.comparingDouble((Flow flow) -> flow.startTag)
		.thenComparing((flow) -> flow.workspace);

	private static final long STANDING_NANOS = 2_000_000_000L;

	/** The part of its deadline that a request may wait in a standing queue. */
	private static final double STANDING_RATIO = 0.25;

	final String workspace;

	final TreeSet<Waiting> queue = new TreeSet<>(Waiting.BY_URGENCY);

	double startTag;

	double finishTag;

	double cost;

	private long lateSinceNanos;

	Flow(String workspace) {
		this.workspace = workspace;
	}

	void onDispatch(long nowNanos, Waiting waiting) {
		final long budgetNanos = waiting.info().firstTokenDeadlineNanos() - waiting.queuedAtNanos();
		final boolean late = nowNanos - waiting.queuedAtNanos() > STANDING_RATIO * budgetNanos;
		if (!late) {
			this.lateSinceNanos = 0;
		}
		else if (this.lateSinceNanos == 0) {
			this.lateSinceNanos = nowNanos;
		}
	}

	double allowedWaitNanos(long nowNanos, long budgetNanos) {
		final boolean standing = !this.queue.isEmpty() && this.lateSinceNanos != 0
				&& nowNanos - this.lateSinceNanos > STANDING_NANOS;
		return standing ? STANDING_RATIO * budgetNanos : budgetNanos;
	}

}
