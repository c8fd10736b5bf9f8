package org.pistachioline.core.planner;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;

import org.pistachioline.core.fleet.Instance;

/**
 * The instances that a new group could take, by pool and fabric domain; shrinks as groups
 * are laid out on it.
 */
final class FreeInstances {

	private final Map<String, Map<String, Set<Instance>>> byPoolAndDomain = new TreeMap<>();

	FreeInstances(PlannerInput input) {
		for (final Instance instance : input.instances()) {
			final boolean usable = !instance.leaving() && !input.fleet().groupIdsByInstance().containsKey(instance.id())
					&& !input.unresponsiveIds().contains(instance.id());
			if (usable) {
				this.byPoolAndDomain.computeIfAbsent(instance.pool(), (key) -> new TreeMap<>())
					.computeIfAbsent(instance.fabricDomain(),
							(key) -> new TreeSet<>(Comparator.comparing(Instance::id)))
					.add(instance);
			}
		}
	}

	Set<String> domains(String pool) {
		return this.byPoolAndDomain.getOrDefault(pool, Map.of()).keySet();
	}

	int count(String pool, String domain) {
		return instancesIn(pool, domain).size();
	}

	int accelerators(String pool, String domain) {
		return instancesIn(pool, domain).stream().mapToInt(Instance::accelerators).sum();
	}

	String availabilityZone(String pool, String domain) {
		return instancesIn(pool, domain).stream().map(Instance::availabilityZone).findFirst().orElse("");
	}

	List<Instance> take(String pool, String domain, int count) {
		final List<Instance> taken = instancesIn(pool, domain).stream().limit(count).collect(Collectors.toList());
		taken.forEach(instancesIn(pool, domain)::remove);
		return taken;
	}

	private Set<Instance> instancesIn(String pool, String domain) {
		return this.byPoolAndDomain.getOrDefault(pool, Map.of()).getOrDefault(domain, Set.of());
	}

}
