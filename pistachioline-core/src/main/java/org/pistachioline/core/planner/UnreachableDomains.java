package org.pistachioline.core.planner;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.pistachioline.core.fleet.Instance;
import org.pistachioline.core.record.Member;
import org.pistachioline.core.state.GroupState;

/**
 * Finds the fabric domains of which a large part is unresponsive at once; the dump of the
 * plan lists them as dark domains.
 * <p>
 * The cause is usually a failed switch, rack or zone, or a planner that is itself
 * partitioned from the domain. If each loss were handled by itself, every group of the
 * domain would be dissolved and formed again elsewhere: all of them would load at once
 * from a rate-limited weight store, although the instances usually return within a
 * minute. Changes to such a domain are therefore deferred, for longer than a switch takes
 * to restart; after that, the losses are handled one by one.
 */
final class UnreachableDomains {

	/** The share of a domain's instances that must be unresponsive. */
	private static final double MIN_UNRESPONSIVE_RATIO = 0.5;

	/** Fewer unresponsive instances than this are handled as single losses. */
	private static final int MIN_UNRESPONSIVE_INSTANCES = 2;

	/** Longer than a switch takes to restart, which is about two minutes. */
	private static final long MAX_DEFERRAL_NANOS = 180_000_000_000L;

	private UnreachableDomains() {
	}

	static Set<String> find(PlannerInput input, PlannerMemory memory, Collection<GroupState> ownGroups) {
		final Map<String, Integer> instances = new HashMap<>();
		final Map<String, Integer> unresponsive = new HashMap<>();
		final Set<String> countedIds = new HashSet<>();
		for (final GroupState group : ownGroups) {
			for (final Member member : group.members()) {
				countInstance(input, member.instanceId(), group.fabricDomain(), countedIds, instances, unresponsive);
			}
		}
		for (final Instance instance : input.instances()) {
			if (input.ownEpoch(instance.fabricDomain()).isPresent()) {
				countInstance(input, instance.id(), instance.fabricDomain(), countedIds, instances, unresponsive);
			}
		}
		final Set<String> unreachable = new HashSet<>();
		unresponsive.forEach((domain, count) -> {
			if (memory.isTakeoverComplete(domain, input.nowNanos()) && count >= MIN_UNRESPONSIVE_INSTANCES
					&& count >= MIN_UNRESPONSIVE_RATIO * instances.get(domain)) {
				final long sinceNanos = memory.sinceNanos("dark " + domain, input.nowNanos());
				if (input.nowNanos() - sinceNanos < MAX_DEFERRAL_NANOS) {
					unreachable.add(domain);
				}
			}
		});
		return unreachable;
	}

	private static void countInstance(PlannerInput input, String instanceId, String domain, Set<String> countedIds,
			Map<String, Integer> instances, Map<String, Integer> unresponsive) {
		if (countedIds.add(instanceId)) {
			instances.merge(domain, 1, Integer::sum);
			if (input.unresponsiveIds().contains(instanceId)) {
				unresponsive.merge(domain, 1, Integer::sum);
			}
		}
	}

}
