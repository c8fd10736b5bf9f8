package org.pistachioline.core.planner;

import java.util.Collection;

import org.pistachioline.core.manifest.ModelSpec;
import org.pistachioline.core.state.GroupState;

/**
 * Decides how many groups a model should have.
 * <p>
 * Demand may be close to zero for weeks and then multiply within minutes. Scaling up is
 * fast and in one step, because callers wait. Scaling down is slow and by one group at a
 * time, because peaks come in waves and each load takes minutes and uses the weight
 * store. The distance between the two thresholds prevents oscillation.
 */
final class ReplicaAutoscaler {

	/**
	 * The utilization above which a model is scaled up; batches this full delay first
	 * tokens.
	 */
	private static final double SCALE_UP_RATIO = 0.8;

	/**
	 * The utilization that a scale-up leads to, and below which a model is scaled down.
	 */
	private static final double DESIRED_UTILIZATION_RATIO = 0.6;

	/** Shorter bursts are absorbed by the queues. */
	private static final long SCALE_UP_DELAY_NANOS = 10_000_000_000L;

	/** Longer than the pause between two waves of a peak. */
	private static final long SCALE_DOWN_DELAY_NANOS = 180_000_000_000L;

	private ReplicaAutoscaler() {
	}

	static int desiredReplicas(PlannerInput input, PlannerMemory memory, ModelSpec model,
			Collection<GroupState> groups) {
		final int activeGroups = (int) groups.stream().filter((group) -> !group.draining()).count();
		final int current = clamp(model, memory.desiredReplicas(model.name(), activeGroups));
		int desired = current;
		final double usedGroups = estimateUsedSlots(input, groups) / model.maxConcurrentRequests();
		final int required = clamp(model, (int) Math.ceil(usedGroups / DESIRED_UTILIZATION_RATIO));
		if (activeGroups > 0 && usedGroups > SCALE_UP_RATIO * activeGroups && required > current) {
			final long sinceNanos = memory.sinceNanos("over " + model.name(), input.nowNanos());
			desired = (input.nowNanos() - sinceNanos >= SCALE_UP_DELAY_NANOS) ? required : current;
		}
		else if (required < current) {
			// The count is part of the condition, so that the delay starts again
			// after each step.
			final long sinceNanos = memory.sinceNanos("under " + current + " " + model.name(), input.nowNanos());
			desired = (input.nowNanos() - sinceNanos >= SCALE_DOWN_DELAY_NANOS) ? current - 1 : current;
		}
		memory.setDesiredReplicas(model.name(), desired);
		return desired;
	}

	// Groups without a reported load are assumed to have the average load of the
	// others.
	private static double estimateUsedSlots(PlannerInput input, Collection<GroupState> groups) {
		int reportingGroups = 0;
		int activeGroups = 0;
		double totalRequests = 0;
		for (final GroupState group : groups) {
			final GroupLoad load = input.loads().get(group.groupId());
			activeGroups += group.draining() ? 0 : 1;
			if (load != null && !group.draining()) {
				reportingGroups++;
				totalRequests += load.totalRequests();
			}
		}
		return (reportingGroups == 0) ? 0 : totalRequests * activeGroups / reportingGroups;
	}

	private static int clamp(ModelSpec model, int replicas) {
		return Math.max(model.minReplicas(), Math.min(model.maxReplicas(), replicas));
	}

}
