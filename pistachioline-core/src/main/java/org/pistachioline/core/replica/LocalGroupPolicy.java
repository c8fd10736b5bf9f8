package org.pistachioline.core.replica;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Decides by the declared shares and for each fabric domain by itself.
 */
final class LocalGroupPolicy implements GroupPolicy {

	private final GroupAllocator allocator;

	private final GroupRebalancer rebalancer;

	private final WeightStaging staging;

	LocalGroupPolicy(WeightInventory weights, StagedLoads loads) {
		this.allocator = new GroupAllocator(weights);
		this.rebalancer = new GroupRebalancer(weights);
		this.staging = new WeightStaging(weights, loads);
	}

	@Override
	public Map<String, Double> shareRatios(PlannerView view) {
		final Map<String, Double> shares = new HashMap<>();
		view.engine().models().forEach((model) -> shares.put(model.name(), model.initialShareRatio()));
		return shares;
	}

	@Override
	public boolean limitsLoadsBeforeTraffic() {
		return true;
	}

	@Override
	public void startPass(PlanningPass pass) {
		this.allocator.updateIdleTimes(pass.view().nowNanos(), pass.free());
	}

	@Override
	public Optional<GroupAllocator.Proposal> nextGroup(PlanningPass pass, ModelInstanceCounts counts,
			boolean loadsAllowed) {
		return this.allocator.nextProposal(pass.view(), pass.free(), counts, loadsAllowed);
	}

	@Override
	public List<TrackedGroup> groupsToClose(PlanningPass pass, ModelInstanceCounts counts) {
		return pass.view().beforeTraffic() ? List.of() : this.rebalancer.selectGroupsToClose(pass.view().engine(),
				pass.free(), pass.serving(), pass.byId(), counts);
	}

	@Override
	public Optional<ReplicaOrder.Stage> nextLoad(PlanningPass pass, ModelInstanceCounts counts) {
		return this.staging.nextOrder(pass.view(), counts, pass.free());
	}

}
