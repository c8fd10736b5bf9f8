package org.pistachioline.core.replica;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

import org.pistachioline.core.route.EngineModel;

/**
 * Chooses which hosts load weights while their instances serve or wait.
 * <p>
 * A load takes a quarter of a minute. Were it done by joining a group, the other members
 * would wait for it and could not help when the next group of their fabric domain breaks.
 * A host takes weights in beside all other work, and its instance then joins a group of
 * that model in a second or two. So once requests come all loads are done this way. Empty
 * hosts go first, for the model that the instances free in their domain can form soonest.
 * Then each domain that serves a model with larger groups gets {@value #SPARE_INSTANCES}
 * more instances with its weights than its groups need; they serve in smaller groups
 * until a loss has to be made good.
 */
final class WeightStaging {

	private static final int SPARE_INSTANCES = 2;

	/** A load that takes this many times as long as it should was never begun. */
	private static final double LOAD_TIMEOUT_RATIO = 1.4;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final WeightInventory weights;

	private final Map<String, Long> loadDeadlineNanos = new HashMap<>();

	private final Map<String, String> loadingModels = new HashMap<>();

	private final Set<String> unsupportedIds = new HashSet<>();

	WeightStaging(WeightInventory weights) {
		this.weights = weights;
	}

	void removeFinishedLoads(long nowNanos, Map<String, ServingInstance> byId) {
		this.loadDeadlineNanos.keySet()
			.removeIf((id) -> !byId.containsKey(id) || nowNanos - this.loadDeadlineNanos.get(id) >= 0
					|| byId.get(id).stagedModels().contains(this.loadingModels.get(id)));
		this.loadingModels.keySet().retainAll(this.loadDeadlineNanos.keySet());
		this.unsupportedIds.retainAll(byId.keySet());
	}

	int countLoadsInProgress() {
		return this.loadDeadlineNanos.size();
	}

	/**
	 * Takes word that an instance does not know the order.
	 * @param instanceId the instance
	 */
	void markUnsupported(String instanceId) {
		this.loadDeadlineNanos.remove(instanceId);
		this.unsupportedIds.add(instanceId);
	}

	/**
	 * Returns whether some instance does not know the order, so that only joining loads.
	 * @return whether loads have to be done by joining
	 */
	boolean hasUnsupported() {
		return !this.unsupportedIds.isEmpty();
	}

	/**
	 * Chooses the next host.
	 * @param view what the planner sees
	 * @param census how many instances serve each model
	 * @param free the instances that are in no group
	 * @return the order; empty where no host is to load
	 */
	Optional<ReplicaOrder.Stage> nextOrder(PlannerView view, ModelInstanceCounts census, List<ServingInstance> free) {
		// Before requests come empty instances load by joining; more of them are on their
		// way to the list.
		final Optional<ReplicaOrder.Stage> chosen = view.beforeTraffic() ? Optional.empty()
				: orderForFreeInstances(view, census, free);
		return chosen.or(() -> orderForSpare(view, census, free)).map((order) -> recordLoad(view, order));
	}

	// The free instances of a domain that lack the fewest loads for the instances that
	// serve afterwards; an empty host where no such load completes a group.
	private Optional<ReplicaOrder.Stage> orderForFreeInstances(PlannerView view, ModelInstanceCounts census,
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
				.forEach((near) -> completionFor(model, near).ifPresent(completions::add)));
		return completions.stream()
			.min(Comparator.comparingDouble(Completion::missingRatio)
				.thenComparingDouble((completion) -> census.nextFillRatio(completion.model())))
			.map((completion) -> new ReplicaOrder.Stage(completion.host(), completion.model().name()))
			.or(() -> orderForEmptyHost(view, census, free));
	}

	private Optional<Completion> completionFor(EngineModel model, List<ServingInstance> near) {
		final long lacking = countMissingHolders(model, near);
		final List<ServingInstance> hosts = near.stream()
			.filter((instance) -> !holdsOrLoads(instance, model) && mayLoad(instance))
			.toList();
		if (lacking <= 0 || hosts.size() < lacking) {
			return Optional.empty();
		}
		return hosts.stream()
			.min(Comparator.comparingInt(this.weights::countModels).thenComparing(ServingInstance::id))
			.map((host) -> new Completion(model, lacking, host));
	}

	private Optional<ReplicaOrder.Stage> orderForEmptyHost(PlannerView view, ModelInstanceCounts census,
			List<ServingInstance> free) {
		return free.stream()
			.filter((instance) -> !this.weights.holdsAny(instance) && mayLoad(instance))
			.min(Comparator.comparing(ServingInstance::id))
			.flatMap((instance) -> modelForEmptyHost(view, census, instance, free)
				.map((model) -> new ReplicaOrder.Stage(instance, model.name())));
	}

	// The model that lacks the fewest instances in the domain; of two, the less filled.
	private Optional<EngineModel> modelForEmptyHost(PlannerView view, ModelInstanceCounts census,
			ServingInstance instance, List<ServingInstance> free) {
		final List<ServingInstance> near = free.stream()
			.filter((other) -> other.fabricDomain().equals(instance.fabricDomain()))
			.toList();
		return view.engine()
			.models()
			.stream()
			.filter((model) -> model.members() > 0)
			.min(Comparator
				.comparingLong((EngineModel model) -> Math.floorMod(countMissingHolders(model, near), model.members()))
				.thenComparingDouble(census::nextFillRatio));
	}

	private long countMissingHolders(EngineModel model, List<ServingInstance> near) {
		return model.members() - near.stream().filter((other) -> holdsOrLoads(other, model)).count();
	}

	private boolean holdsOrLoads(ServingInstance instance, EngineModel model) {
		return this.weights.holds(instance, model.name()) || model.name().equals(this.loadingModels.get(instance.id()));
	}

	private Optional<ReplicaOrder.Stage> orderForSpare(PlannerView view, ModelInstanceCounts census,
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
			.sorted(Comparator.comparingDouble(census::nextFillRatio))
			.flatMap((model) -> byDomain.entrySet()
				.stream()
				.filter((entry) -> needsHolders(model, entry.getValue(), census.inDomain(model.name(), entry.getKey())))
				.flatMap((entry) -> selectHost(model, entry.getValue(), free).stream())
				.map((instance) -> new ReplicaOrder.Stage(instance, model.name())))
			.findFirst();
	}

	private ReplicaOrder.Stage recordLoad(PlannerView view, ReplicaOrder.Stage order) {
		final long loadMillis = view.engine().model(order.model()).orElseThrow().loadMillis();
		this.loadingModels.put(order.instance().id(), order.model());
		this.loadDeadlineNanos.put(order.instance().id(),
				view.nowNanos() + (long) (LOAD_TIMEOUT_RATIO * loadMillis * NANOS_PER_MILLI));
		return order;
	}

	private boolean needsHolders(EngineModel model, List<ServingInstance> domain, int grouped) {
		final long holders = domain.stream().filter((instance) -> holdsOrLoads(instance, model)).count();
		if (grouped == 0) {
			// Survivors of the last group there; to form one again takes all its members.
			return holders > 0 && holders < model.members();
		}
		return holders < grouped + SPARE_INSTANCES;
	}

	private Optional<ServingInstance> selectHost(EngineModel model, List<ServingInstance> domain,
			List<ServingInstance> free) {
		final Map<GroupId, Long> holders = new HashMap<>();
		domain.stream()
			.filter((instance) -> holdsOrLoads(instance, model))
			.forEach((instance) -> instance.membership().ifPresent((own) -> holders.merge(own.group(), 1L, Long::sum)));
		return domain.stream()
			.filter((instance) -> !this.weights.holds(instance, model.name()) && mayLoad(instance))
			.min(Comparator.comparing((ServingInstance instance) -> !free.contains(instance))
				// Members of one group together, so that closing it frees both.
				.thenComparingLong((instance) -> -instance.membership()
					.map((own) -> holders.getOrDefault(own.group(), 0L))
					.orElse(0L))
				.thenComparing(ServingInstance::id));
	}

	private boolean mayLoad(ServingInstance instance) {
		final boolean joining = instance.membership().filter((own) -> own.state() == MemberState.JOINING).isPresent();
		return !joining && !this.loadDeadlineNanos.containsKey(instance.id())
				&& !this.unsupportedIds.contains(instance.id());
	}

	/**
	 * A group that free instances of one domain can form once some of them have loaded.
	 *
	 * @param model its model
	 * @param missingHolders how many of them have to load
	 * @param host the one that loads first
	 */
	private record Completion(EngineModel model, long missingHolders, ServingInstance host) {

		double missingRatio() {
			return (double) this.missingHolders / this.model.members();
		}

	}

}
