package org.pistachioline.core.replica;

import java.util.List;
import java.util.Map;
import java.util.Optional;

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

	FleetGroupPolicy(WeightInventory weights, StagedLoads loads) {
		this.holders = new DomainHolders(weights, loads);
		this.coldAllocator = new GroupAllocator(weights);
		this.allocator = new FleetAllocator(this.holders);
		this.exchange = new GroupExchange(this.holders);
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
		this.demandShares.update(pass.view().engine(), pass.view().demandShareRatios());
		this.coldAllocator.updateIdleTimes(pass.view().nowNanos(), pass.free());
	}

	@Override
	public Optional<GroupAllocator.Proposal> nextGroup(PlanningPass pass, ModelInstanceCounts counts,
			boolean loadsAllowed) {
		return loadsAllowed ? nextColdGroup(pass, counts)
				: this.allocator.nextGroup(pass, counts, targets(pass, counts));
	}

	// Instances are listed one after the other when a fleet starts. If each were used at
	// once, the model with the smallest groups would get all of them.
	private Optional<GroupAllocator.Proposal> nextColdGroup(PlanningPass pass, ModelInstanceCounts counts) {
		final PlannerView view = pass.view();
		final List<EngineModel> models = view.engine().models();
		final List<EngineModel> shortModels = models.stream()
			.filter((model) -> model.members() > 0 && counts.isUnderprovisioned(model))
			.toList();
		final List<ServingInstance> waited = this.coldAllocator.waitedForPartners(view.nowNanos(), pass.free());
		return this.coldAllocator
			.nextProposal(view, shortModels.isEmpty() ? models : shortModels, pass.free(), counts, true)
			.or(() -> this.coldAllocator.nextProposal(view, models, waited, counts, true));
	}

	@Override
	public List<TrackedGroup> groupsToClose(PlanningPass pass, ModelInstanceCounts counts, List<TrackedGroup> serving) {
		return this.exchange.groupsToClose(pass, targets(pass, counts), serving);
	}

	@Override
	public Optional<ReplicaOrder.Stage> nextLoad(PlanningPass pass, ModelInstanceCounts counts) {
		return this.staging.nextLoad(pass, counts, targets(pass, counts));
	}

	private static ModelTargets targets(PlanningPass pass, ModelInstanceCounts counts) {
		return new ModelTargets(counts, pass.view().engine());
	}

}
