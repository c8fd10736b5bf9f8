package org.pistachioline.core.replica;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.pistachioline.core.route.EngineModel;

/**
 * Selects which hosts load weights in the background, over all fabric domains.
 * <p>
 * The weight store is the scarce supply, so each load goes where a group gains the most
 * for each load that it lacks. Weights that are under way, and those of survivors that
 * become free soon, count as present. If no group can be completed, hosts load a second
 * model where the fewest hold it, so that later survivors find partners for either model.
 */
final class FleetStaging {

	private final DomainHolders holders;

	FleetStaging(DomainHolders holders) {
		this.holders = holders;
	}

	/**
	 * Selects the next load.
	 * @param pass the pass
	 * @param counts how many instances serve each model
	 * @param targets what additions to the models are worth
	 * @return the order; empty if no host has to load
	 */
	Optional<ReplicaOrder.Stage> nextLoad(PlanningPass pass, ModelInstanceCounts counts, ModelTargets targets) {
		// Before the first request, empty instances load by joining.
		final Optional<ReplicaOrder.Stage> selected = pass.view().beforeTraffic() ? Optional.empty()
				: loadForCompletion(pass, targets);
		return (selected.isPresent() || losesInstances(pass)) ? selected : loadForFlexibility(pass, counts);
	}

	// While instances are being lost, the store is kept for the empty hosts that replace
	// them.
	private static boolean losesInstances(PlanningPass pass) {
		return !pass.view().beforeTraffic() && !(pass.recovering().isEmpty() && pass.view().delisted().isEmpty());
	}

	private Optional<ReplicaOrder.Stage> loadForCompletion(PlanningPass pass, ModelTargets targets) {
		final Map<String, List<ServingInstance>> freeByDomain = DomainHolders.byDomain(pass.free());
		final List<ServingInstance> available = new ArrayList<>(pass.free());
		available.addAll(pass.recovering());
		final Map<String, List<ServingInstance>> availableByDomain = DomainHolders.byDomain(available);
		final Map<String, List<ServingInstance>> usableByDomain = usableByDomain(pass);
		final Map<EngineModel, Integer> planned = plannedInstances(pass, availableByDomain.values());
		final List<Completion> completions = new ArrayList<>();
		planned.forEach((model, plannedInstances) -> {
			final double gain = targets.gain(model, plannedInstances, model.members());
			final int concurrentLoads = Math.max(1, pass.view().engine().concurrentLoads());
			freeByDomain.entrySet()
				.stream()
				.filter((entry) -> mayHoldGroup(usableByDomain.get(entry.getKey()), model))
				.forEach((entry) -> completion(model, entry.getValue(), availableByDomain.get(entry.getKey()), gain,
						concurrentLoads)
					.ifPresent(completions::add));
		});
		return completions.stream()
			.max(Comparator.comparing(Completion::hostsSuffice)
				.thenComparingDouble(Completion::gainPerLoadAndMilli)
				.thenComparingInt(Completion::partners)
				.thenComparing((completion) -> completion.host().id()))
			.map((completion) -> new ReplicaOrder.Stage(completion.host(), completion.model().name()));
	}

	private static Map<String, List<ServingInstance>> usableByDomain(PlanningPass pass) {
		return DomainHolders
			.byDomain(pass.view().instances().stream().filter((instance) -> !instance.draining()).toList());
	}

	// A group has all its members in one domain, so weights of a model whose groups are
	// larger than the domain would never be used there.
	private static boolean mayHoldGroup(List<ServingInstance> usable, EngineModel model) {
		return model.members() > 0 && usable.size() >= model.members();
	}

	// Returns how many instances each model gets once all known weights are used.
	private Map<EngineModel, Integer> plannedInstances(PlanningPass pass,
			Collection<List<ServingInstance>> availableByDomain) {
		final Map<EngineModel, Integer> planned = new HashMap<>();
		pass.view()
			.engine()
			.models()
			.stream()
			.filter((model) -> model.members() > 0)
			.forEach((model) -> planned.put(model, availableByDomain.stream()
				.mapToInt(
						(instances) -> this.holders.countHolders(instances, model) / model.members() * model.members())
				.sum()));
		return planned;
	}

	private Optional<Completion> completion(EngineModel model, List<ServingInstance> free,
			List<ServingInstance> available, double gain, int concurrentLoads) {
		final int missing = model.members() - this.holders.countHolders(available, model) % model.members();
		final List<ServingInstance> hosts = free.stream()
			.filter((instance) -> this.holders.mayLoad(instance, model))
			.toList();
		return hosts.stream()
			.min(Comparator.comparingInt(this.holders::countModels).thenComparing(ServingInstance::id))
			.map((host) -> new Completion(model, host, hosts.size() >= missing,
					gain / missing / completionMillis(model, missing, concurrentLoads),
					(int) this.holders.countWarm(available)));
	}

	private static double completionMillis(EngineModel model, int missing, int concurrentLoads) {
		final int rounds = (missing + concurrentLoads - 1) / concurrentLoads;
		return (double) rounds * Math.max(1, model.loadMillis());
	}

	private Optional<ReplicaOrder.Stage> loadForFlexibility(PlanningPass pass, ModelInstanceCounts counts) {
		return usableByDomain(pass).entrySet()
			.stream()
			.flatMap((entry) -> pass.view()
				.engine()
				.models()
				.stream()
				.filter((model) -> mayHoldGroup(entry.getValue(), model))
				.flatMap((model) -> spare(model, entry.getKey(), entry.getValue(), counts).stream()))
			.min(Comparator.comparingDouble(Spare::sparesPerGroup)
				.thenComparing((spare) -> spare.host().fabricDomain())
				.thenComparingDouble((spare) -> counts.nextFillRatio(spare.model())))
			.map((spare) -> new ReplicaOrder.Stage(spare.host(), spare.model().name()));
	}

	private Optional<Spare> spare(EngineModel model, String domain, List<ServingInstance> instances,
			ModelInstanceCounts counts) {
		final int spares = this.holders.countHolders(instances, model) - counts.inDomain(model.name(), domain);
		final Map<GroupId, Integer> holdersByGroup = new HashMap<>();
		instances.stream()
			.filter((instance) -> this.holders.holdsOrLoads(instance, model))
			.forEach((instance) -> instance.membership()
				.ifPresent((membership) -> holdersByGroup.merge(membership.group(), 1, Integer::sum)));
		return instances.stream()
			.filter((instance) -> this.holders.mayLoad(instance, model))
			// Prefers empty hosts, then members of the same group: closing it frees them
			// together.
			.min(Comparator.comparingInt(this.holders::countModels)
				.thenComparingInt((ServingInstance instance) -> -instance.membership()
					.map((membership) -> holdersByGroup.getOrDefault(membership.group(), 0))
					.orElse(0))
				.thenComparing(ServingInstance::id))
			.map((host) -> new Spare(model, host, (double) spares / model.members()));
	}

	/**
	 * A group that lacks loads.
	 *
	 * @param model the model
	 * @param host the host that loads next
	 * @param hostsSuffice whether the domain has enough hosts for all the missing loads
	 * @param gainPerLoadAndMilli what the group is worth, in instances, for each load and
	 * for each millisecond until it serves
	 * @param partners the warm instances of the domain that can help when the group
	 * breaks
	 */
	private record Completion(EngineModel model, ServingInstance host, boolean hostsSuffice, double gainPerLoadAndMilli,
			int partners) {

	}

	/**
	 * A host that could hold a second model.
	 *
	 * @param model the model
	 * @param host the host
	 * @param sparesPerGroup the instances of the domain that hold the model's weights
	 * beyond those in its groups, for each member of a group
	 */
	private record Spare(EngineModel model, ServingInstance host, double sparesPerGroup) {

	}

}
