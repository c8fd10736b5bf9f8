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
 * Chooses which groups of a well supplied model are closed, so that their members serve a
 * model that is short.
 * <p>
 * Made for a model with large groups of which a member dies: three survivors wait for a
 * fourth, and every other instance of their fabric domain is in a smaller group. Where
 * such a group's members have the weights of the short model too, closing it costs its
 * callers nothing but the move of their next requests, and brings back a group of the
 * short model within about two seconds. Only whole groups are closed, as few instances
 * are moved as will do, and only where the other model has its share of all instances and
 * both are nearer to their shares afterwards. After many losses both have less than their
 * share, as survivors wait everywhere; to take from one for the other then made the one
 * with more callers the short one.
 */
final class GroupRebalancer {

	private final WeightInventory weights;

	GroupRebalancer(WeightInventory weights) {
		this.weights = weights;
	}

	/**
	 * Chooses groups to close.
	 * @param engine the service's engines
	 * @param free the instances that may be taken
	 * @param serving the groups that are open and whole
	 * @param byId all listed instances, by id
	 * @param census how many instances serve each model
	 * @return the groups to close; empty where nothing is gained
	 */
	List<TrackedGroup> selectGroupsToClose(EngineSpec engine, List<ServingInstance> free,
			Collection<TrackedGroup> serving, Map<String, ServingInstance> byId, ModelInstanceCounts census) {
		final Optional<EngineModel> scarce = engine.models()
			.stream()
			.filter((model) -> model.members() > 0)
			.min(Comparator.comparingDouble(census::fillRatio));
		if (scarce.isEmpty()) {
			return List.of();
		}
		final Map<String, List<TrackedGroup>> byGiver = new TreeMap<>();
		serving.stream()
			.filter((known) -> mayDonate(engine, known, scarce.get(), census))
			.forEach((known) -> byGiver
				.computeIfAbsent(known.id.model() + '\n' + byId.get(known.headId()).fabricDomain(),
						(name) -> new ArrayList<>())
				.add(known));
		final Map<String, Long> holders = new HashMap<>();
		free.stream()
			.filter((instance) -> this.weights.holds(instance, scarce.get().name()))
			.forEach((instance) -> holders.merge(instance.fabricDomain(), 1L, Long::sum));
		return byGiver.values()
			.stream()
			.map((groups) -> cheapestDonors(scarce.get(),
					holders.getOrDefault(byId.get(groups.get(0).headId()).fabricDomain(), 0L), groups, byId))
			.filter((groups) -> !groups.isEmpty() && improvesBalance(engine, scarce.get(), groups, census))
			.min(Comparator.comparingInt(GroupRebalancer::countInstances))
			.orElse(List.of());
	}

	private static boolean mayDonate(EngineSpec engine, TrackedGroup known, EngineModel scarce,
			ModelInstanceCounts census) {
		return engine.model(known.id.model())
			.filter((model) -> model != scarce && !census.isUnderprovisioned(model))
			.isPresent();
	}

	// Whether the two models stand more evenly to their shares after the exchange.
	private static boolean improvesBalance(EngineSpec engine, EngineModel scarce, List<TrackedGroup> groups,
			ModelInstanceCounts census) {
		final EngineModel giver = engine.model(groups.get(0).id.model()).orElseThrow();
		final double before = census.fillRatio(giver) - census.fillRatio(scarce);
		final double after = census.fillRatio(giver, -countInstances(groups))
				- census.fillRatio(scarce, scarce.members());
		return Math.abs(after) < before;
	}

	private static int countInstances(List<TrackedGroup> groups) {
		return groups.stream().mapToInt((known) -> known.memberIds.size()).sum();
	}

	// The groups whose closing completes one of the short model; empty where none does,
	// or where none is needed because the free instances suffice.
	private List<TrackedGroup> cheapestDonors(EngineModel scarce, long held, List<TrackedGroup> groups,
			Map<String, ServingInstance> byId) {
		final List<TrackedGroup> chosen = new ArrayList<>();
		long have = held;
		final List<TrackedGroup> richest = groups.stream()
			.sorted(Comparator.comparingLong((TrackedGroup known) -> -countHolders(known, scarce, byId))
				.thenComparingLong((known) -> known.id.epoch()))
			.toList();
		for (final TrackedGroup known : richest) {
			final long more = countHolders(known, scarce, byId);
			if (have >= scarce.members() || more == 0) {
				break;
			}
			chosen.add(known);
			have += more;
		}
		return (have >= scarce.members()) ? chosen : List.of();
	}

	private long countHolders(TrackedGroup known, EngineModel scarce, Map<String, ServingInstance> byId) {
		return known.memberIds.stream().filter((id) -> this.weights.holds(byId.get(id), scarce.name())).count();
	}

}
