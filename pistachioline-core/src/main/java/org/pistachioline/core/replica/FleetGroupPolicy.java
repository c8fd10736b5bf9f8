package org.pistachioline.core.replica;

import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.pistachioline.core.route.EngineModel;

/**
 * Decides by the demand for the models and for all fabric domains together.
 * <p>
 * Designed for fleets that lose instances faster than the weight store can replace them,
 * where warm instances are too few to be left idle in several domains and of several
 * models. No instance is held back for a model that cannot use it now: whatever is warm
 * and complete serves. A group is closed for another one only if that one is larger, all
 * of its members are known, and its model needs it more. Loads go where one load
 * completes the most.
 */
final class FleetGroupPolicy implements GroupPolicy {

	private final DemandShares demandShares = new DemandShares();

	private final GroupAllocator coldAllocator;

	private final FleetAllocator allocator;

	private final GroupExchange exchange;

	private final FleetStaging staging;

	private final DomainHolders holders;

	private final FreeReservations reservations;

	private Optional<GroupExchange.Exchange> nextExchange = Optional.empty();

	/** Free instances that join no group yet. */
	private Set<ServingInstance> reserved = new HashSet<>();

	private final Map<PlanDecision.Kind, PlanDecision> lastDecisions = new EnumMap<>(PlanDecision.Kind.class);

	FleetGroupPolicy(WeightInventory weights, StagedLoads loads) {
		this.holders = new DomainHolders(weights, loads);
		this.coldAllocator = new GroupAllocator(weights);
		this.allocator = new FleetAllocator(this.holders);
		this.reservations = new FreeReservations(this.holders);
		this.exchange = new GroupExchange(this.holders, this.reservations);
		this.staging = new FleetStaging(this.holders);
	}

	@Override
	public Map<String, Double> shareRatios(PlannerView view) {
		return this.demandShares.inForce();
	}

	@Override
	public boolean limitsLoadsBeforeTraffic() {
		return false;
	}

	@Override
	public void startPass(PlanningPass pass) {
		this.demandShares.update(pass.view().nowNanos(), pass.view().engine(), pass.view().demandShareRatios());
		this.coldAllocator.updateIdleTimes(pass.view().nowNanos(), pass.free());
	}

	@Override
	public void reserve(PlanningPass pass, ModelInstanceCounts counts) {
		final ModelTargets targets = targets(counts);
		this.reserved = new HashSet<>(this.reservations.select(pass, targets));
		this.nextExchange = this.exchange.select(pass, targets);
		this.nextExchange.ifPresent((selected) -> {
			record(PlanDecision.Kind.EXCHANGE, selected.recipient(), selected.domain(), selected.gain());
			this.reserved.addAll(selected.waiting());
		});
	}

	@Override
	public Optional<GroupAllocator.Proposal> nextGroup(PlanningPass pass, ModelInstanceCounts counts,
			boolean loadsAllowed) {
		if (loadsAllowed) {
			return nextColdGroup(pass, counts);
		}
		final ModelTargets targets = targets(counts);
		final Optional<GroupAllocator.Proposal> next = this.allocator.nextGroup(pass, counts, targets, this.reserved);
		next.ifPresent((proposal) -> record(PlanDecision.Kind.GROUP, proposal.model(), proposal.fabricDomain(),
				targets.gain(proposal.model(), 0, proposal.model().members())));
		return next;
	}

	private void record(PlanDecision.Kind kind, EngineModel model, String domain, double gainInstances) {
		this.lastDecisions.put(kind, new PlanDecision(kind, model.name(), domain, gainInstances));
	}

	// Instances are listed one after the other when a fleet starts. If each were used at
	// once, the model with the smallest groups would get all of them.
	private Optional<GroupAllocator.Proposal> nextColdGroup(PlanningPass pass, ModelInstanceCounts counts) {
		final PlannerView view = pass.view();
		final List<EngineModel> models = view.engine().models();
		final List<EngineModel> shortModels = models.stream()
			.filter((model) -> model.members() > 0 && counts.isUnderprovisioned(model))
			.toList();
		final List<ServingInstance> free = pass.free()
			.stream()
			.filter((instance) -> !this.reserved.contains(instance))
			.toList();
		final List<ServingInstance> waited = this.coldAllocator.waitedForPartners(view.nowNanos(), free);
		return this.coldAllocator.nextProposal(view, shortModels.isEmpty() ? models : shortModels, free, counts, true)
			.or(() -> this.coldAllocator.nextProposal(view, models, waited, counts, true));
	}

	@Override
	public List<TrackedGroup> groupsToClose(PlanningPass pass, ModelInstanceCounts counts) {
		return this.nextExchange.map(GroupExchange.Exchange::closed).orElse(List.of());
	}

	@Override
	public Optional<ReplicaOrder.Stage> nextLoad(PlanningPass pass, ModelInstanceCounts counts) {
		final ModelTargets targets = targets(counts);
		final Optional<ReplicaOrder.Stage> next = this.staging.nextLoad(pass, counts, targets);
		next.ifPresent((order) -> pass.view()
			.engine()
			.model(order.model())
			.ifPresent((model) -> record(PlanDecision.Kind.LOAD, model, order.instance().fabricDomain(),
					targets.gain(model, 0, model.members()) / model.members())));
		return next;
	}

	@Override
	public List<PlanDecision> lastDecisions() {
		return List.copyOf(this.lastDecisions.values());
	}

	private static ModelTargets targets(ModelInstanceCounts counts) {
		return new ModelTargets(counts);
	}

}
