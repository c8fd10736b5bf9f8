package org.pistachioline.core.replica;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

import org.pistachioline.core.route.EngineModel;

/**
 * Counts the instances in each model's groups, in total, by fabric domain and by
 * availability zone. Groups that lost a member or are being closed are not counted.
 */
final class ModelInstanceCounts {

	/**
	 * Lets a model without a declared share get instances once the others have enough.
	 */
	private static final double MIN_SHARE_RATIO = 0.01;

	private final Map<String, Integer> counts = new HashMap<>();

	private final Map<String, Double> shareRatios;

	private final double totalShareRatio;

	private final long usableInstances;

	/**
	 * Counts the instances.
	 * @param view what the planner sees
	 * @param shareRatios the models' shares of the instances, by the model's name
	 * @param trackedGroups the groups
	 * @param byId all listed instances, by id
	 */
	ModelInstanceCounts(PlannerView view, Map<String, Double> shareRatios, Collection<TrackedGroup> trackedGroups,
			Map<String, ServingInstance> byId) {
		this.shareRatios = Map.copyOf(shareRatios);
		this.totalShareRatio = view.engine().models().stream().mapToDouble(this::shareRatio).sum();
		this.usableInstances = view.instances().stream().filter((instance) -> !instance.draining()).count();
		for (final TrackedGroup tracked : trackedGroups) {
			if (!tracked.dissolving && new GroupStatus(tracked, byId).allListed()) {
				tracked.memberIds.forEach((id) -> add(tracked.id.model(), byId.get(id)));
			}
		}
	}

	private void add(String model, ServingInstance instance) {
		this.counts.merge(model, 1, Integer::sum);
		this.counts.merge(domainKey(model, instance.fabricDomain()), 1, Integer::sum);
		this.counts.merge(availabilityZoneKey(model, instance.availabilityZone()), 1, Integer::sum);
	}

	private static String domainKey(String model, String domain) {
		return model + "\ndomain " + domain;
	}

	private static String availabilityZoneKey(String model, String availabilityZone) {
		return model + "\nzone " + availabilityZone;
	}

	private double shareRatio(EngineModel model) {
		return Math.max(this.shareRatios.getOrDefault(model.name(), 0.0), MIN_SHARE_RATIO);
	}

	/**
	 * Returns a model's part of all shares.
	 * @param model the model
	 * @return the part, more than 0 and at most 1
	 */
	double normalizedShareRatio(EngineModel model) {
		return shareRatio(model) / this.totalShareRatio;
	}

	int count(EngineModel model) {
		return this.counts.getOrDefault(model.name(), 0);
	}

	int inDomain(String model, String domain) {
		return this.counts.getOrDefault(domainKey(model, domain), 0);
	}

	int inAvailabilityZone(String model, String availabilityZone) {
		return this.counts.getOrDefault(availabilityZoneKey(model, availabilityZone), 0);
	}

	// Returns the fill ratio halfway to the model's next group. Because groups differ in
	// size, the model with the lower value is the one that stays closer to its share
	// after its next group.
	double nextFillRatio(EngineModel model) {
		return (count(model) + model.members() / 2.0) / shareRatio(model);
	}

	double fillRatio(EngineModel model) {
		return fillRatio(model, 0);
	}

	// Returns the ratio of the model's instances, plus or minus a number of them, to its
	// share.
	double fillRatio(EngineModel model, int additionalInstances) {
		return (count(model) + additionalInstances) / shareRatio(model);
	}

	/**
	 * Returns whether a model is at least one whole group below its share of the usable
	 * instances.
	 * @param model the model
	 * @return whether it is underprovisioned
	 */
	boolean isUnderprovisioned(EngineModel model) {
		return entitledInstances(model) - count(model) >= model.members();
	}

	/**
	 * Returns a model's share of the usable instances.
	 * @param model the model
	 * @return the number of instances
	 */
	double entitledInstances(EngineModel model) {
		return this.usableInstances * normalizedShareRatio(model);
	}

}
