package org.pistachioline.core.replica;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.pistachioline.core.route.EngineModel;
import org.pistachioline.core.route.EngineSpec;

/**
 * Selects which groups of a well provisioned model to close, so that their members can
 * serve an underprovisioned model.
 * <p>
 * Designed for a model with large groups that loses a member: three survivors wait for a
 * fourth while every other instance of their fabric domain is in a smaller group. If the
 * members of such a smaller group also hold the weights of the recipient model, closing
 * it only moves its callers' next requests to other groups, and restores a group of the
 * recipient model within about two seconds. Only whole groups are closed, with as few
 * instances as necessary, and only if the donor model has its share of all instances and
 * the exchange brings both models closer to their shares. After many losses both models
 * are below their shares because survivors wait everywhere; moving instances between them
 * then left the model with more callers underprovisioned.
 */
final class GroupRebalancer {

	private final WeightInventory weights;

	GroupRebalancer(WeightInventory weights) {
		this.weights = weights;
	}

	/**
	 * Selects the groups to close.
	 * @param engine the engine specification of the service
	 * @param free the instances that may be assigned
	 * @param serving the groups that are open and complete
	 * @param byId all listed instances, by id
	 * @param counts how many instances serve each model
	 * @return the groups to close; empty if an exchange would not help
	 */
	List<TrackedGroup> selectGroupsToClose(EngineSpec engine, List<ServingInstance> free,
			Collection<TrackedGroup> serving, Map<String, ServingInstance> byId, ModelInstanceCounts counts) {
		final Optional<EngineModel> recipient = engine.models()
			.stream()
			.filter((model) -> model.members() > 0)
			.min(Comparator.comparingDouble(counts::fillRatio));
		if (recipient.isEmpty()) {
			return List.of();
		}
		final Map<String, List<TrackedGroup>> byDonor = new TreeMap<>();
		serving.stream()
			.filter((tracked) -> mayDonate(engine, tracked, recipient.get(), counts))
			.forEach((tracked) -> byDonor
				.computeIfAbsent(tracked.id.model() + '\n' + byId.get(tracked.headId()).fabricDomain(),
						(name) -> new ArrayList<>())
				.add(tracked));
		final Map<String, Long> freeHolders = new HashMap<>();
		free.stream()
			.filter((instance) -> this.weights.holds(instance, recipient.get().name()))
			.forEach((instance) -> freeHolders.merge(instance.fabricDomain(), 1L, Long::sum));
		return byDonor.values()
			.stream()
			.map((groups) -> cheapestDonors(recipient.get(),
					freeHolders.getOrDefault(byId.get(groups.get(0).headId()).fabricDomain(), 0L), groups, byId))
			.filter((groups) -> !groups.isEmpty() && improvesBalance(engine, recipient.get(), groups, counts))
			.min(Comparator.comparingInt(GroupRebalancer::countInstances))
			.orElse(List.of());
	}

	private static boolean mayDonate(EngineSpec engine, TrackedGroup tracked, EngineModel recipient,
			ModelInstanceCounts counts) {
		return engine.model(tracked.id.model())
			.filter((model) -> model != recipient && !counts.isUnderprovisioned(model))
			.isPresent();
	}

	// Returns whether the exchange brings the fill ratios of the two models closer
	// together.
	private static boolean improvesBalance(EngineSpec engine, EngineModel recipient, List<TrackedGroup> groups,
			ModelInstanceCounts counts) {
		final EngineModel donor = engine.model(groups.get(0).id.model()).orElseThrow();
		final double before = counts.fillRatio(donor) - counts.fillRatio(recipient);
		final double after = counts.fillRatio(donor, -countInstances(groups))
				- counts.fillRatio(recipient, recipient.members());
		return Math.abs(after) < before;
	}

	private static int countInstances(List<TrackedGroup> groups) {
		return groups.stream().mapToInt((tracked) -> tracked.memberIds.size()).sum();
	}

	// Returns the groups that, once closed, complete a group of the recipient model.
	// Empty if no selection does so, or if the free instances suffice.
	private List<TrackedGroup> cheapestDonors(EngineModel recipient, long freeHolders, List<TrackedGroup> groups,
			Map<String, ServingInstance> byId) {
		final List<TrackedGroup> selected = new ArrayList<>();
		long holders = freeHolders;
		final List<TrackedGroup> byHolderCount = groups.stream()
			.sorted(Comparator.comparingLong((TrackedGroup tracked) -> -countHolders(tracked, recipient, byId))
				.thenComparingLong((tracked) -> tracked.id.epoch()))
			.toList();
		for (final TrackedGroup tracked : byHolderCount) {
			final long additionalHolders = countHolders(tracked, recipient, byId);
			if (holders >= recipient.members() || additionalHolders == 0) {
				break;
			}
			selected.add(tracked);
			holders += additionalHolders;
		}
		return (holders >= recipient.members()) ? selected : List.of();
	}

	private long countHolders(TrackedGroup tracked, EngineModel recipient, Map<String, ServingInstance> byId) {
		return tracked.memberIds.stream().filter((id) -> this.weights.holds(byId.get(id), recipient.name())).count();
	}

}
