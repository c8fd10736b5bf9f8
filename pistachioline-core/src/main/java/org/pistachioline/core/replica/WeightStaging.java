package org.pistachioline.core.replica;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

import org.pistachioline.core.route.EngineModel;

/**
 * Selects which hosts load weights in the background while their instances serve or wait.
 * <p>
 * A load takes about 15 s. If it were part of joining a group, the other members would
 * wait for it and could not help when the next group of their fabric domain breaks. A
 * host stages weights alongside all other work, and its instance can then join a group of
 * that model in one to two seconds. Once requests arrive, all loads are therefore staged.
 * Free instances come first, for the model that the free instances of a domain can form
 * soonest. Then each domain that serves a model with larger groups gets
 * {@value #SPARE_INSTANCES} more instances with its weights than its groups need; these
 * serve in smaller groups until a loss has to be replaced.
 */
final class WeightStaging {

	private static final int SPARE_INSTANCES = 2;

	private final WeightInventory weights;

	private final StagedLoads loads;

	WeightStaging(WeightInventory weights, StagedLoads loads) {
		this.weights = weights;
		this.loads = loads;
	}

	/**
	 * Selects the next host to load weights.
	 * @param view what the planner sees
	 * @param counts how many instances serve each model
	 * @param free the instances that are in no group
	 * @return the order; empty if no host has to load
	 */
	Optional<ReplicaOrder.Stage> nextOrder(PlannerView view, ModelInstanceCounts counts, List<ServingInstance> free) {
		// Before the first request, empty instances load by joining, and more of them are
		// about to be listed.
		final Optional<ReplicaOrder.Stage> selected = view.beforeTraffic() ? Optional.empty()
				: orderForFreeInstances(view, counts, free);
		return selected.or(() -> orderForSpare(view, counts, free));
	}

	// Selects the free instances of a domain that complete a group with the fewest loads
	// per member. If no group can be completed, selects an empty host.
	private Optional<ReplicaOrder.Stage> orderForFreeInstances(PlannerView view, ModelInstanceCounts counts,
			List<ServingInstance> free) {
		final Map<String, List<ServingInstance>> byDomain = new TreeMap<>();
		free.forEach((instance) -> byDomain.computeIfAbsent(instance.fabricDomain(), (name) -> new ArrayList<>())
			.add(instance));
		final List<Completion> completions = new ArrayList<>();
		view.engine()
			.models()
			.stream()
			.filter((model) -> model.members() > 0)
			.forEach((model) -> byDomain.values()
				.forEach((domainInstances) -> completionFor(model, domainInstances).ifPresent(completions::add)));
		return completions.stream()
			.min(Comparator.comparingDouble(Completion::missingRatio)
				.thenComparingDouble((completion) -> counts.nextFillRatio(completion.model())))
			.map((completion) -> new ReplicaOrder.Stage(completion.host(), completion.model().name()))
			.or(() -> orderForEmptyHost(view, counts, free));
	}

	private Optional<Completion> completionFor(EngineModel model, List<ServingInstance> domainInstances) {
		final long missingHolders = countMissingHolders(model, domainInstances);
		final List<ServingInstance> hosts = domainInstances.stream()
			.filter((instance) -> !holdsOrLoads(instance, model) && this.loads.mayLoad(instance))
			.toList();
		if (missingHolders <= 0 || hosts.size() < missingHolders) {
			return Optional.empty();
		}
		return hosts.stream()
			.min(Comparator.comparingInt(this.weights::countModels).thenComparing(ServingInstance::id))
			.map((host) -> new Completion(model, missingHolders, host));
	}

	private Optional<ReplicaOrder.Stage> orderForEmptyHost(PlannerView view, ModelInstanceCounts counts,
			List<ServingInstance> free) {
		return free.stream()
			.filter((instance) -> !this.weights.holdsAny(instance) && this.loads.mayLoad(instance))
			.min(Comparator.comparing(ServingInstance::id))
			.flatMap((instance) -> modelForEmptyHost(view, counts, instance, free)
				.map((model) -> new ReplicaOrder.Stage(instance, model.name())));
	}

	// Returns the model that lacks the fewest instances in the domain; if equal, the one
	// with the lower fill ratio.
	private Optional<EngineModel> modelForEmptyHost(PlannerView view, ModelInstanceCounts counts,
			ServingInstance instance, List<ServingInstance> free) {
		final List<ServingInstance> domainInstances = free.stream()
			.filter((other) -> other.fabricDomain().equals(instance.fabricDomain()))
			.toList();
		return view.engine()
			.models()
			.stream()
			.filter((model) -> model.members() > 0)
			.min(Comparator.comparingLong(
					(EngineModel model) -> Math.floorMod(countMissingHolders(model, domainInstances), model.members()))
				.thenComparingDouble(counts::nextFillRatio));
	}

	private long countMissingHolders(EngineModel model, List<ServingInstance> domainInstances) {
		return model.members() - domainInstances.stream().filter((other) -> holdsOrLoads(other, model)).count();
	}

	private boolean holdsOrLoads(ServingInstance instance, EngineModel model) {
		return this.weights.holds(instance, model.name())
				|| this.loads.loadingModel(instance).filter(model.name()::equals).isPresent();
	}

	private Optional<ReplicaOrder.Stage> orderForSpare(PlannerView view, ModelInstanceCounts counts,
			List<ServingInstance> free) {
		final Map<String, List<ServingInstance>> byDomain = new TreeMap<>();
		view.instances()
			.stream()
			.filter((instance) -> !instance.draining())
			.forEach((instance) -> byDomain.computeIfAbsent(instance.fabricDomain(), (name) -> new ArrayList<>())
				.add(instance));
		final int smallest = view.engine().models().stream().mapToInt(EngineModel::members).min().orElse(0);
		return view.engine()
			.models()
			.stream()
			.filter((model) -> model.members() > smallest)
			.sorted(Comparator.comparingDouble(counts::nextFillRatio))
			.flatMap((model) -> byDomain.entrySet()
				.stream()
				.filter((entry) -> needsHolders(model, entry.getValue(), counts.inDomain(model.name(), entry.getKey())))
				.flatMap((entry) -> selectHost(model, entry.getValue(), free).stream())
				.map((instance) -> new ReplicaOrder.Stage(instance, model.name())))
			.findFirst();
	}

	private boolean needsHolders(EngineModel model, List<ServingInstance> domainInstances, int groupedInstances) {
		final long holders = domainInstances.stream().filter((instance) -> holdsOrLoads(instance, model)).count();
		if (groupedInstances == 0) {
			// These are survivors of the domain's last group; forming it again takes all
			// of its members.
			return holders > 0 && holders < model.members();
		}
		return holders < groupedInstances + SPARE_INSTANCES;
	}

	private Optional<ServingInstance> selectHost(EngineModel model, List<ServingInstance> domainInstances,
			List<ServingInstance> free) {
		final Map<GroupId, Long> holders = new HashMap<>();
		domainInstances.stream()
			.filter((instance) -> holdsOrLoads(instance, model))
			.forEach((instance) -> instance.membership()
				.ifPresent((membership) -> holders.merge(membership.group(), 1L, Long::sum)));
		return domainInstances.stream()
			.filter((instance) -> !this.weights.holds(instance, model.name()) && this.loads.mayLoad(instance))
			.min(Comparator.comparing((ServingInstance instance) -> !free.contains(instance))
				// Prefers members of the same group, so that closing that group frees
				// them together.
				.thenComparingLong((instance) -> -instance.membership()
					.map((membership) -> holders.getOrDefault(membership.group(), 0L))
					.orElse(0L))
				.thenComparing(ServingInstance::id));
	}

	/**
	 * A group that free instances of one domain can form after some of them have loaded.
	 *
	 * @param model the model
	 * @param missingHolders the number of instances that have to load
	 * @param host the instance that loads first
	 */
	private record Completion(EngineModel model, long missingHolders, ServingInstance host) {

		double missingRatio() {
			return (double) this.missingHolders / this.model.members();
		}

	}

}
