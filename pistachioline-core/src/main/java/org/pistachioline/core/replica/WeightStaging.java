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
 * Then each domain that serves a model with larger groups gets {@value #SPARES} more
 * instances with its weights than its groups need; they serve in smaller groups until a
 * loss has to be made good.
 */
final class WeightStaging {

	private static final int SPARES = 2;

	/** A load that takes this many times as long as it should was never begun. */
	private static final double LOST_AFTER_LOADS = 1.4;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final HostWeights weights;

	private final Map<String, Long> loadingUntilNanos = new HashMap<>();

	private final Map<String, String> loadingModels = new HashMap<>();

	private final Set<String> unable = new HashSet<>();

	WeightStaging(HostWeights weights) {
		this.weights = weights;
	}

	void begin(long nowNanos, Map<String, ServingInstance> byId) {
		this.loadingUntilNanos.keySet()
			.removeIf((id) -> !byId.containsKey(id) || nowNanos - this.loadingUntilNanos.get(id) >= 0
					|| byId.get(id).stagedModels().contains(this.loadingModels.get(id)));
		this.loadingModels.keySet().retainAll(this.loadingUntilNanos.keySet());
		this.unable.retainAll(byId.keySet());
	}

	int loading() {
		return this.loadingUntilNanos.size();
	}

	/**
	 * Takes word that an instance does not know the order.
	 * @param instanceId the instance
	 */
	void unknownTo(String instanceId) {
		this.loadingUntilNanos.remove(instanceId);
		this.unable.add(instanceId);
	}

	/**
	 * Returns whether some instance does not know the order, so that only joining loads.
	 * @return whether loads have to be done by joining
	 */
	boolean unsupported() {
		return !this.unable.isEmpty();
	}

	/**
	 * Chooses the next host.
	 * @param view what the planner sees
	 * @param census how many instances serve each model
	 * @param free the instances that are in no group
	 * @return the order; empty where no host is to load
	 */
	Optional<ReplicaOrder.Stage> next(PlannerView view, PoolCensus census, List<ServingInstance> free) {
		// Before requests come empty instances load by joining; more of them are on their
		// way to the list.
		final Optional<ReplicaOrder.Stage> chosen = view.beforeTraffic() ? Optional.empty()
				: forFree(view, census, free);
		return chosen.or(() -> forSpare(view, census, free)).map((order) -> note(view, order));
	}

	// The free instances of a domain that lack the fewest loads for the instances that
	// serve afterwards; an empty host where no such load completes a group.
	private Optional<ReplicaOrder.Stage> forFree(PlannerView view, PoolCensus census, List<ServingInstance> free) {
		final Map<String, List<ServingInstance>> byDomain = new TreeMap<>();
		free.forEach((instance) -> byDomain.computeIfAbsent(instance.fabricDomain(), (name) -> new ArrayList<>())
			.add(instance));
		final List<Completion> completions = new ArrayList<>();
		view.engine()
			.models()
			.stream()
			.filter((model) -> model.members() > 0)
			.forEach((model) -> byDomain.values()
				.forEach((near) -> completion(model, near).ifPresent(completions::add)));
		return completions.stream()
			.min(Comparator.comparingDouble(Completion::loadsRatio)
				.thenComparingDouble((completion) -> census.nextFillRatio(completion.model())))
			.map((completion) -> new ReplicaOrder.Stage(completion.host(), completion.model().name()))
			.or(() -> forEmpty(view, census, free));
	}

	private Optional<Completion> completion(EngineModel model, List<ServingInstance> near) {
		final long lacking = lacking(model, near);
		final List<ServingInstance> hosts = near.stream()
			.filter((instance) -> !holdsOrLoads(instance, model) && mayLoad(instance))
			.toList();
		if (lacking <= 0 || hosts.size() < lacking) {
			return Optional.empty();
		}
		return hosts.stream()
			.min(Comparator.comparingInt(this.weights::count).thenComparing(ServingInstance::id))
			.map((host) -> new Completion(model, lacking, host));
	}

	private Optional<ReplicaOrder.Stage> forEmpty(PlannerView view, PoolCensus census, List<ServingInstance> free) {
		return free.stream()
			.filter((instance) -> !this.weights.holdsAny(instance) && mayLoad(instance))
			.min(Comparator.comparing(ServingInstance::id))
			.flatMap((instance) -> modelFor(view, census, instance, free)
				.map((model) -> new ReplicaOrder.Stage(instance, model.name())));
	}

	// The model that lacks the fewest instances in the domain; of two, the less filled.
	private Optional<EngineModel> modelFor(PlannerView view, PoolCensus census, ServingInstance instance,
			List<ServingInstance> free) {
		final List<ServingInstance> near = free.stream()
			.filter((other) -> other.fabricDomain().equals(instance.fabricDomain()))
			.toList();
		return view.engine()
			.models()
			.stream()
			.filter((model) -> model.members() > 0)
			.min(Comparator.comparingLong((EngineModel model) -> Math.floorMod(lacking(model, near), model.members()))
				.thenComparingDouble(census::nextFillRatio));
	}

	private long lacking(EngineModel model, List<ServingInstance> near) {
		return model.members() - near.stream().filter((other) -> holdsOrLoads(other, model)).count();
	}

	private boolean holdsOrLoads(ServingInstance instance, EngineModel model) {
		return this.weights.holds(instance, model.name()) || model.name().equals(this.loadingModels.get(instance.id()));
	}

	private Optional<ReplicaOrder.Stage> forSpare(PlannerView view, PoolCensus census, List<ServingInstance> free) {
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
				.filter((entry) -> lacks(model, entry.getValue(), census.inDomain(model.name(), entry.getKey())))
				.flatMap((entry) -> host(model, entry.getValue(), free).stream())
				.map((instance) -> new ReplicaOrder.Stage(instance, model.name())))
			.findFirst();
	}

	private ReplicaOrder.Stage note(PlannerView view, ReplicaOrder.Stage order) {
		final long loadMillis = view.engine().model(order.model()).orElseThrow().loadMillis();
		this.loadingModels.put(order.instance().id(), order.model());
		this.loadingUntilNanos.put(order.instance().id(),
				view.nowNanos() + (long) (LOST_AFTER_LOADS * loadMillis * NANOS_PER_MILLI));
		return order;
	}

	private boolean lacks(EngineModel model, List<ServingInstance> domain, int grouped) {
		final long holders = domain.stream().filter((instance) -> holdsOrLoads(instance, model)).count();
		if (grouped == 0) {
			// Survivors of the last group there; to form one again takes all its members.
			return holders > 0 && holders < model.members();
		}
		return holders < grouped + SPARES;
	}

	private Optional<ServingInstance> host(EngineModel model, List<ServingInstance> domain,
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
		return !joining && !this.loadingUntilNanos.containsKey(instance.id()) && !this.unable.contains(instance.id());
	}

	/**
	 * A group that free instances of one domain can form once some of them have loaded.
	 *
	 * @param model its model
	 * @param lacking how many of them have to load
	 * @param host the one that loads first
	 */
	private record Completion(EngineModel model, long lacking, ServingInstance host) {

		double loadsRatio() {
			return (double) this.lacking / this.model.members();
		}

	}

}
