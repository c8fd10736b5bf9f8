package org.pistachioline.core.replica;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

import org.pistachioline.core.route.EngineModel;

/**
 * Counts the instances of each model's groups, in all and by fabric domain and
 * availability zone. A group that lost a member or is being closed no longer counts.
 */
final class ModelInstanceCounts {

	/** A model without a declared share still gets instances when others have enough. */
	private static final double MIN_SHARE_RATIO = 0.01;

	private final Map<String, Integer> counts = new HashMap<>();

	private final double totalShareRatio;

	private final long usableInstances;

	ModelInstanceCounts(PlannerView view, Collection<TrackedGroup> records, Map<String, ServingInstance> byId) {
		this.totalShareRatio = view.engine().models().stream().mapToDouble(ModelInstanceCounts::shareRatio).sum();
		this.usableInstances = view.instances().stream().filter((instance) -> !instance.draining()).count();
		for (final TrackedGroup known : records) {
			if (!known.dissolving && new GroupStatus(known, byId).allListed()) {
				known.memberIds.forEach((id) -> add(known.id.model(), byId.get(id)));
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

	private static String availabilityZoneKey(String model, String zone) {
		return model + "\nzone " + zone;
	}

	private static double shareRatio(EngineModel model) {
		return Math.max(model.initialShareRatio(), MIN_SHARE_RATIO);
	}

	int inDomain(String model, String domain) {
		return this.counts.getOrDefault(domainKey(model, domain), 0);
	}

	int inAvailabilityZone(String model, String zone) {
		return this.counts.getOrDefault(availabilityZoneKey(model, zone), 0);
	}

	// How far a model's share is filled halfway to its next group. Groups differ in size;
	// of two models the one with the lower value stays nearer to its share after its next
	// group.
	double nextFillRatio(EngineModel model) {
		return (this.counts.getOrDefault(model.name(), 0) + model.members() / 2.0) / shareRatio(model);
	}

	double fillRatio(EngineModel model) {
		return fillRatio(model, 0);
	}

	// How far a model's instances fill its share, or would with some more of them.
	double fillRatio(EngineModel model, int more) {
		return (this.counts.getOrDefault(model.name(), 0) + more) / shareRatio(model);
	}

	/**
	 * Returns whether a model has at least one whole group less than its share of the
	 * instances that there are.
	 * @param model the model
	 * @return whether it is short
	 */
	boolean isUnderprovisioned(EngineModel model) {
		final double due = this.usableInstances * shareRatio(model) / this.totalShareRatio;
		return due - this.counts.getOrDefault(model.name(), 0) >= model.members();
	}

}
