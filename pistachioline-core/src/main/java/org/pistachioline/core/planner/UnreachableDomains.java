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
 * Finds the fabric domains that went dark as a whole.
 * <p>
 * Made for a switch, a rack or a zone that stops answering at once, or for a planner that
 * is itself cut off. Taken as many single losses, every group there would be dissolved
 * and formed anew elsewhere: all loads at once against a rate-limited weight store, for
 * instances that are back a minute later. So changes there wait, up to a bound that is
 * longer than a switch takes to restart; afterwards the losses count one by one.
 */
final class UnreachableDomains {

	/** The share of a domain's instances that must be silent. */
	private static final double MIN_UNRESPONSIVE_RATIO = 0.5;

	/** Fewer silent instances than this are single losses. */
	private static final int MIN_UNRESPONSIVE_INSTANCES = 2;

	/** A switch restarts in two minutes or so. */
	private static final long MAX_DEFERRAL_NANOS = 180_000_000_000L;

	private UnreachableDomains() {
	}

	static Set<String> find(PlannerInput input, PlannerMemory memory, Collection<GroupState> mine) {
		final Map<String, Integer> instances = new HashMap<>();
		final Map<String, Integer> silent = new HashMap<>();
		final Set<String> counted = new HashSet<>();
		for (final GroupState group : mine) {
			for (final Member member : group.members()) {
				countInstance(input, member.instanceId(), group.fabricDomain(), counted, instances, silent);
			}
		}
		for (final Instance instance : input.instances()) {
			if (input.ownEpoch(instance.fabricDomain()).isPresent()) {
				countInstance(input, instance.id(), instance.fabricDomain(), counted, instances, silent);
			}
		}
		final Set<String> dark = new HashSet<>();
		silent.forEach((domain, count) -> {
			if (memory.isTakeoverComplete(domain, input.nowNanos()) && count >= MIN_UNRESPONSIVE_INSTANCES
					&& count >= MIN_UNRESPONSIVE_RATIO * instances.get(domain)) {
				final long sinceNanos = memory.sinceNanos("dark " + domain, input.nowNanos());
				if (input.nowNanos() - sinceNanos < MAX_DEFERRAL_NANOS) {
					dark.add(domain);
				}
			}
		});
		return dark;
	}

	private static void countInstance(PlannerInput input, String instanceId, String domain, Set<String> counted,
			Map<String, Integer> instances, Map<String, Integer> silent) {
		if (counted.add(instanceId)) {
			instances.merge(domain, 1, Integer::sum);
			if (input.unresponsiveIds().contains(instanceId)) {
				silent.merge(domain, 1, Integer::sum);
			}
		}
	}

}
