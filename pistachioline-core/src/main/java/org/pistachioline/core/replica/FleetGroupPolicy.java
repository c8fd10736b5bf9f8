package org.pistachioline.core.replica;

import java.util.List;
import java.util.Map;
import java.util.Optional;

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
		return loadsAllowed ? this.coldAllocator.nextProposal(pass.view(), pass.free(), counts, true)
				: this.allocator.nextGroup(pass, counts, targets(pass, counts));
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
