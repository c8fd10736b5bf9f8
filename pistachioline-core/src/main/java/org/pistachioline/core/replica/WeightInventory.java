package org.pistachioline.core.replica;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Knows which models an instance can join a group of without a load from the weight
 * store: the one of its last group, whose weights are still in its accelerator, and those
 * on its host. Instances report only the latter and the group that they are in, so the
 * model of a group that was left is remembered here.
 */
final class WeightInventory {

	private final Map<String, String> lastGroupModels = new HashMap<>();

	void update(Collection<ServingInstance> instances) {
		final Set<String> ids = instances.stream().map(ServingInstance::id).collect(Collectors.toSet());
		this.lastGroupModels.keySet().retainAll(ids);
		instances.forEach((instance) -> instance.membership()
			.filter((own) -> own.state() != MemberState.JOINING)
			.ifPresent((own) -> this.lastGroupModels.put(instance.id(), own.group().model())));
	}

	boolean holds(ServingInstance instance, String model) {
		return instance.stagedModels().contains(model) || model.equals(this.lastGroupModels.get(instance.id()));
	}

	boolean holdsAny(ServingInstance instance) {
		return !instance.stagedModels().isEmpty() || this.lastGroupModels.containsKey(instance.id());
	}

	int countModels(ServingInstance instance) {
		final String last = this.lastGroupModels.get(instance.id());
		final boolean other = last != null && !instance.stagedModels().contains(last);
		return instance.stagedModels().size() + (other ? 1 : 0);
	}

}
