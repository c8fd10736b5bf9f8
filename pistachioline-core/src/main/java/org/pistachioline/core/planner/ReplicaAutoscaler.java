package org.pistachioline.core.planner;

import java.util.Collection;

import org.pistachioline.core.manifest.ModelSpec;
import org.pistachioline.core.state.GroupState;

/**
 * Decides how many groups a model should have.
 * <p>
 * Made for demand that is near nothing for weeks and then multiplies within minutes. It
 * grows soon, since callers wait, and by as many groups as the demand needs at once. It
 * shrinks late and by one group a time, since a storm comes in waves and each load costs
 * the weight store and minutes; the distance between the two keeps it from swinging.
 */
final class ReplicaAutoscaler {

	/** The use above which it grows: a batch this full makes first tokens wait. */
	private static final double SCALE_UP_RATIO = 0.8;

	/** The use that it grows to, and under which it shrinks. */
	private static final double DESIRED_UTILIZATION_RATIO = 0.6;

	/** A burst shorter than this is left to the queues. */
	private static final long SCALE_UP_DELAY_NANOS = 10_000_000_000L;

	/** Longer than the lull between two waves of a storm. */
	private static final long SCALE_DOWN_DELAY_NANOS = 180_000_000_000L;

	private ReplicaAutoscaler() {
	}

	static int desiredReplicas(PlannerInput input, PlannerMemory memory, ModelSpec model,
			Collection<GroupState> groups) {
		final int present = (int) groups.stream().filter((group) -> !group.draining()).count();
		final int before = clamp(model, memory.desiredReplicas(model.name(), present));
		int desired = before;
		final double used = estimateUsedSlots(input, groups) / model.maxConcurrentRequests();
		final int wanted = clamp(model, (int) Math.ceil(used / DESIRED_UTILIZATION_RATIO));
		if (present > 0 && used > SCALE_UP_RATIO * present && wanted > before) {
			final long sinceNanos = memory.sinceNanos("over " + model.name(), input.nowNanos());
			desired = (input.nowNanos() - sinceNanos >= SCALE_UP_DELAY_NANOS) ? wanted : before;
		}
		else if (wanted < before) {
			// The count is part of the note: after each step the wait begins anew.
			final long sinceNanos = memory.sinceNanos("under " + before + " " + model.name(), input.nowNanos());
			desired = (input.nowNanos() - sinceNanos >= SCALE_DOWN_DELAY_NANOS) ? before - 1 : before;
		}
		memory.setDesiredReplicas(model.name(), desired);
		return desired;
	}

	// Groups of which nothing is known count as busy as the others.
	private static double estimateUsedSlots(PlannerInput input, Collection<GroupState> groups) {
		int known = 0;
		int live = 0;
		double total = 0;
		for (final GroupState group : groups) {
			final GroupLoad load = input.loads().get(group.groupId());
			live += group.draining() ? 0 : 1;
			if (load != null && !group.draining()) {
				known++;
				total += load.totalRequests();
			}
		}
		return (known == 0) ? 0 : total * live / known;
	}

	private static int clamp(ModelSpec model, int replicas) {
		return Math.max(model.minReplicas(), Math.min(model.maxReplicas(), replicas));
	}

}
