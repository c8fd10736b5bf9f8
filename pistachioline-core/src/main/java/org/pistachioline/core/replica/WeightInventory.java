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

	private final boolean joiningReplacesWeights;

	/**
	 * Creates an inventory.
	 * @param joiningReplacesWeights whether an instance that begins to join a group of
	 * another model is assumed to give up the weights in its accelerator at once;
	 * otherwise only when it has joined
	 */
	WeightInventory(boolean joiningReplacesWeights) {
		this.joiningReplacesWeights = joiningReplacesWeights;
	}

	void update(Collection<ServingInstance> instances) {
		final Set<String> ids = instances.stream().map(ServingInstance::id).collect(Collectors.toSet());
		this.lastGroupModels.keySet().retainAll(ids);
		instances.forEach((instance) -> instance.membership().ifPresent((membership) -> update(instance, membership)));
	}

	private void update(ServingInstance instance, Membership membership) {
		final String model = membership.group().model();
		if (membership.state() != MemberState.JOINING) {
			this.lastGroupModels.put(instance.id(), model);
		}
		else if (this.joiningReplacesWeights && !model.equals(this.lastGroupModels.get(instance.id()))) {
			this.lastGroupModels.remove(instance.id());
		}
	}

	boolean holds(ServingInstance instance, String model) {
		return instance.stagedModels().contains(model) || model.equals(this.lastGroupModels.get(instance.id()));
	}

	// Returns whether the weights are still in the accelerator, so that joining takes a
	// moment and does not replace the weights of another model there.
	boolean isLastGroupModel(ServingInstance instance, String model) {
		return model.equals(this.lastGroupModels.get(instance.id()));
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
