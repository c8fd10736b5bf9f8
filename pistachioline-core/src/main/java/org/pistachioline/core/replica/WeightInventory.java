package org.pistachioline.core.replica;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Tracks for which models an instance can join a group without a load from the weight
 * store: the model of its last group, whose weights are still in the accelerator, and the
 * models on its host. Instances report only the latter and their current group, so the
 * model of the last group is remembered here.
 */
final class WeightInventory {

	private final Map<String, String> lastGroupModels = new HashMap<>();

	void update(Collection<ServingInstance> instances) {
		final Set<String> ids = instances.stream().map(ServingInstance::id).collect(Collectors.toSet());
		this.lastGroupModels.keySet().retainAll(ids);
		instances.forEach((instance) -> instance.membership()
			.filter((membership) -> membership.state() != MemberState.JOINING)
			.ifPresent((membership) -> this.lastGroupModels.put(instance.id(), membership.group().model())));
	}

	boolean holds(ServingInstance instance, String model) {
		return instance.stagedModels().contains(model) || model.equals(this.lastGroupModels.get(instance.id()));
	}

	boolean holdsAny(ServingInstance instance) {
		return !instance.stagedModels().isEmpty() || this.lastGroupModels.containsKey(instance.id());
	}

	int countModels(ServingInstance instance) {
		final String lastModel = this.lastGroupModels.get(instance.id());
		final boolean lastModelNotStaged = lastModel != null && !instance.stagedModels().contains(lastModel);
		return instance.stagedModels().size() + (lastModelNotStaged ? 1 : 0);
	}

}
