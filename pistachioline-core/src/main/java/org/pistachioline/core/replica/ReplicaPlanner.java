package org.pistachioline.core.replica;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

import org.pistachioline.core.route.EngineModel;
import org.pistachioline.core.route.EngineSpec;

/**
 * Plans the groups of one service's instances.
 * <p>
 * Each pass compares the instances' reports with the desired state and orders the
 * difference, so that a new planner can continue from the reports alone. Orders may be
 * lost, or be executed seconds late and after newer ones. Each order names its group and
 * epoch, and epochs increase across all planners, so that a late order cannot undo a
 * newer one. Must be called by one thread only.
 */
public final class ReplicaPlanner {

	/**
	 * Bits of an epoch that number the groups formed in one term. They limit a term to
	 * 2^20 groups, so that the epochs of different terms do not overlap.
	 */
	private static final int EPOCH_COUNTER_BITS = 20;

	private final GroupReconciler reconciler;

	private final WeightInventory weights;

	private final StagedLoads stagedLoads = new StagedLoads();

	private final GroupPolicy policy;

	private final PoolSummarizer summarizer;

	private final GroupLosses groupLosses = new GroupLosses();

	private final WeightLoadLimiter loadLimiter;

	private final Map<GroupId, TrackedGroup> trackedGroups = new HashMap<>();

	private final EndedGroups endedGroups = new EndedGroups();

	private final UnansweredJoins unansweredJoins;

	private PassResult lastPass = PassResult.NONE;

	private long nowNanos;

	private long term;

	private long tookOverAtNanos;

	private long groupsFormedInTerm;

	/**
	 * Creates a planner without any known groups, for instances that enforce fencing
	 * tokens.
	 * @param times the planner's timeouts
	 * @param fleetDecisions whether it decides by the demand for the models and for all
	 * fabric domains together, instead of by the declared shares and for each domain
	 */
	public ReplicaPlanner(PlannerTimes times, boolean fleetDecisions) {
		this(times, fleetDecisions, OrderFencing.ENFORCED);
	}

	/**
	 * Creates a planner without any known groups.
	 * @param times the planner's timeouts
	 * @param fleetDecisions whether it decides by the demand for the models and for all
	 * fabric domains together, instead of by the declared shares and for each domain
	 * @param fencing whether instances reject orders that newer ones have overtaken
	 */
	public ReplicaPlanner(PlannerTimes times, boolean fleetDecisions, OrderFencing fencing) {
		this.unansweredJoins = new UnansweredJoins(fleetDecisions, fencing);
		this.weights = new WeightInventory(fleetDecisions);
		this.summarizer = new PoolSummarizer(this.weights, this.stagedLoads);
		this.policy = fleetDecisions ? new FleetGroupPolicy(this.weights, this.stagedLoads)
				: new LocalGroupPolicy(this.weights, this.stagedLoads);
		this.reconciler = new GroupReconciler(times, this.unansweredJoins,
				Collections.unmodifiableSet(this.trackedGroups.keySet()));
		this.loadLimiter = new WeightLoadLimiter(times.loadWindowNanos());
	}

	/**
	 * Begins a term, unless it has begun: this daemon has become the planner, or its
	 * lease was renewed with a higher term. No other daemon can have planned in a term
	 * that is reacquired, or between two successive ones. After any other change,
	 * everything known of groups and orders is obsolete.
	 * @param nowNanos the monotonic time
	 * @param newTerm the term of the lease, which increases with every change of its
	 * holder
	 */
	public void beginTerm(long nowNanos, long newTerm) {
		if (newTerm == this.term) {
			return;
		}
		if (this.term == 0 || newTerm != this.term + 1) {
			this.trackedGroups.clear();
			this.endedGroups.clear();
			this.groupLosses.clear();
			this.loadLimiter.takeOver(nowNanos);
			this.unansweredJoins.takeOver(nowNanos);
			this.tookOverAtNanos = nowNanos;
		}
		this.groupsFormedInTerm = 0;
		this.term = newTerm;
	}

	/**
	 * Decides which orders to send now.
	 * @param view the current input
	 * @return the orders
	 */
	public List<ReplicaOrder> plan(PlannerView view) {
		this.nowNanos = view.nowNanos();
		this.unansweredJoins.removeExpired(view.nowNanos());
		if (view.beforeTraffic()) {
			this.loadLimiter.ignorePreviousPlanner();
		}
		final Map<String, ServingInstance> byId = new HashMap<>();
		view.instances().forEach((instance) -> byId.put(instance.id(), instance));
		this.weights.update(view.instances());
		trackReportedGroups(view);
		this.reconciler.startPass(view.nowNanos());
		this.trackedGroups.values()
			.forEach((tracked) -> tracked.headUnresponsive |= tracked.headId() != null
					&& view.unresponsiveIds().contains(tracked.headId()));
		this.trackedGroups.values().removeIf((tracked) -> {
			final boolean ended = this.reconciler.reconcile(view.nowNanos(), tracked, byId);
			final GroupStatus status = new GroupStatus(tracked, byId);
			this.groupLosses.observe(view, tracked, status, ended);
			if (ended) {
				this.endedGroups.add(view.nowNanos(), tracked, status);
			}
			return ended;
		});
		final List<ReplicaOrder> stagingOrders = mayMissOrdersOfPreviousPlanner(view) ? List.of()
				: assignFreeInstances(view, byId);
		final List<ReplicaOrder> orders = new ArrayList<>(this.reconciler.orders());
		orders.addAll(stagingOrders);
		orders.forEach((order) -> {
			if (order instanceof ReplicaOrder.Join join) {
				this.unansweredJoins.onSent(view.nowNanos(), join);
			}
		});
		return orders;
	}

	// Groups that another planner formed are known only from their members' reports.
	private void trackReportedGroups(PlannerView view) {
		final Map<GroupId, List<ServingInstance>> reported = new HashMap<>();
		view.instances()
			.forEach((instance) -> instance.membership()
				.ifPresent((membership) -> reported.computeIfAbsent(membership.group(), (group) -> new ArrayList<>())
					.add(instance)));
		this.endedGroups.removeEnded(view.nowNanos(), reported);
		reported.forEach((group, members) -> {
			final Optional<EngineModel> model = view.engine().model(group.model());
			final TrackedGroup tracked = this.trackedGroups.get(group);
			if (model.isPresent()
					&& (tracked == null || (!tracked.formedByThisPlanner && tracked.memberIds.contains(null)))) {
				this.trackedGroups.put(group, ReportedGroup.reconstruct(view, group, model.get(), members, tracked));
			}
		});
	}

	// An instance that looks free may be a member of a group that the previous planner
	// has formed since the list was read.
	private boolean mayMissOrdersOfPreviousPlanner(PlannerView view) {
		return view.listAsOfNanos() - this.tookOverAtNanos < 0;
	}

	private List<ReplicaOrder> assignFreeInstances(PlannerView view, Map<String, ServingInstance> byId) {
		final List<ServingInstance> free = new ArrayList<>(view.instances()
			.stream()
			.filter((instance) -> !instance.draining() && !this.reconciler.isReserved(instance))
			.filter((instance) -> !this.unansweredJoins.mayReach(view.nowNanos(), instance, view.delisted()))
			.toList());
		final PlanningPass pass = new PlanningPass(view, byId, free, recovering(byId), servingGroups(byId));
		this.policy.startPass(pass);
		this.policy.reserve(pass, countInstances(pass));
		this.stagedLoads.removeFinished(view.nowNanos(), byId);
		final boolean loadPending = formGroups(pass);
		final ModelInstanceCounts counts = countInstances(pass);
		this.policy.groupsToClose(pass, counts).forEach((tracked) -> tracked.dissolving = true);
		this.lastPass = new PassResult(free.stream().map(ServingInstance::id).collect(Collectors.toSet()),
				countInstances(pass), countLoadsInProgress(byId), this.policy.lastDecisions());
		return (loadPending || this.stagedLoads.hasUnsupported()) ? List.of() : stageWeights(pass, counts);
	}

	private List<ServingInstance> recovering(Map<String, ServingInstance> byId) {
		return this.trackedGroups.values()
			.stream()
			.filter((tracked) -> tracked.dissolving || !new GroupStatus(tracked, byId).allListed())
			.flatMap((tracked) -> tracked.memberIds.stream())
			.filter((id) -> id != null && byId.containsKey(id) && !byId.get(id).draining())
			.map(byId::get)
			.toList();
	}

	// Forms groups until none is possible. Returns whether the next group is held back
	// only by the limits on weight loads.
	private boolean formGroups(PlanningPass pass) {
		final boolean loadsAllowed = pass.view().beforeTraffic() || this.stagedLoads.hasUnsupported();
		Optional<GroupAllocator.Proposal> next = this.policy.nextGroup(pass, countInstances(pass), loadsAllowed);
		while (next.isPresent() && tryStartLoadsOf(pass.view(), next.get(), pass.byId())) {
			startGroup(pass.view().nowNanos(), next.get());
			pass.free().removeAll(next.get().members());
			next = this.policy.nextGroup(pass, countInstances(pass), loadsAllowed);
		}
		return next.isPresent();
	}

	private ModelInstanceCounts countInstances(PlanningPass pass) {
		return new ModelInstanceCounts(pass.view(), this.policy.shareRatios(pass.view()), this.trackedGroups.values(),
				pass.byId());
	}

	private List<TrackedGroup> servingGroups(Map<String, ServingInstance> byId) {
		return this.trackedGroups.values()
			.stream()
			.filter((tracked) -> !tracked.dissolving)
			.filter((tracked) -> new GroupStatus(tracked, byId).serves())
			.toList();
	}

	private List<ReplicaOrder> stageWeights(PlanningPass pass, ModelInstanceCounts counts) {
		final List<ReplicaOrder> orders = new ArrayList<>();
		Optional<ReplicaOrder.Stage> next = nextLoad(pass, counts);
		while (next.isPresent()) {
			orders.add(next.get());
			next = nextLoad(pass, counts);
		}
		return orders;
	}

	private Optional<ReplicaOrder.Stage> nextLoad(PlanningPass pass, ModelInstanceCounts counts) {
		if (!mayStartLoads(pass.view(), 1, pass.byId())) {
			return Optional.empty();
		}
		// Only a load that is ordered uses up the rate.
		return this.policy.nextLoad(pass, counts)
			.filter((order) -> tryStartLoads(pass.view(), 1, pass.byId()))
			.map((order) -> this.stagedLoads.record(pass.view(), order));
	}

	private boolean tryStartLoadsOf(PlannerView view, GroupAllocator.Proposal proposal,
			Map<String, ServingInstance> byId) {
		return proposal.weightLoads() == 0 || tryStartLoads(view, proposal.weightLoads(), byId);
	}

	private boolean tryStartLoads(PlannerView view, int loads, Map<String, ServingInstance> byId) {
		return mayStartLoads(view, loads, byId)
				&& (view.beforeTraffic() || this.loadLimiter.tryStart(view.nowNanos(), loads, view.engine()));
	}

	private boolean mayStartLoads(PlannerView view, int loads, Map<String, ServingInstance> byId) {
		if (view.beforeTraffic() && !this.policy.limitsLoadsBeforeTraffic()) {
			return true;
		}
		if (countLoadsInProgress(byId) >= Math.max(1, view.engine().concurrentLoads())) {
			return false;
		}
		// The weight store does not count loads before the first request.
		return view.beforeTraffic() || this.loadLimiter.mayStart(view.nowNanos(), loads, view.engine());
	}

	// The loads of a group count until its members are ready; they no longer count if a
	// member is lost after that.
	private int countLoadsInProgress(Map<String, ServingInstance> byId) {
		return this.stagedLoads.count() + this.trackedGroups.values()
			.stream()
			.filter((tracked) -> tracked.weightLoads > 0 && new GroupStatus(tracked, byId).anyJoining())
			.mapToInt((tracked) -> tracked.weightLoads)
			.sum();
	}

	private void startGroup(long nowNanos, GroupAllocator.Proposal proposal) {
		this.groupsFormedInTerm++;
		final GroupId group = GroupId.of(proposal.model().name(),
				(this.term << EPOCH_COUNTER_BITS) + this.groupsFormedInTerm);
		final TrackedGroup tracked = new TrackedGroup(group,
				proposal.members().stream().map(ServingInstance::id).toList(), proposal.weightLoads(), true, nowNanos);
		this.trackedGroups.put(group, tracked);
		proposal.members().forEach((member) -> {
			this.reconciler.reserve(member.id());
			this.reconciler.orderJoin(nowNanos, tracked, member);
		});
	}

	/**
	 * Processes the result of an order. Only results that the instances' reports do not
	 * show are used.
	 * @param order the order
	 * @param outcome the result
	 */
	public void onOutcome(ReplicaOrder order, OrderOutcome outcome) {
		if (order instanceof ReplicaOrder.Join join) {
			this.unansweredJoins.onAnswer(join);
			if (outcome == OrderOutcome.UNKNOWN) {
				this.unansweredJoins.add(this.nowNanos, join);
			}
		}
		if (order instanceof ReplicaOrder.GroupOrder groupOrder) {
			onGroupOutcome(groupOrder, outcome);
		}
		else if (outcome == OrderOutcome.INVALID) {
			this.stagedLoads.markUnsupported(order.instance().id());
		}
		else if (outcome == OrderOutcome.SUPERSEDED) {
			this.stagedLoads.remove(order.instance().id());
		}
	}

	private void onGroupOutcome(ReplicaOrder.GroupOrder order, OrderOutcome outcome) {
		final TrackedGroup tracked = this.trackedGroups.get(order.group());
		if (tracked != null) {
			GroupOutcomes.apply(tracked, order, outcome);
		}
	}

	/**
	 * Summarizes the state of the instances for operators.
	 * @param instances the listed instances
	 * @param engine the engine specification of the service
	 * @return the summary, as of the last planning pass
	 */
	public PoolSummary summary(Collection<ServingInstance> instances, EngineSpec engine) {
		return this.summarizer.summarize(instances, engine, this.trackedGroups.values(), this.lastPass);
	}

	/**
	 * Returns the groups that lost their service and have since released their members,
	 * and forgets them.
	 * @return the losses since the last call
	 */
	public List<GroupLoss> takeGroupLosses() {
		return this.groupLosses.take();
	}

	/**
	 * Returns the groups that have ended, and forgets them.
	 * @return the ends since the last call
	 */
	public List<GroupEnd> takeGroupEnds() {
		return this.endedGroups.takeEnds();
	}

	/**
	 * Returns the groups that were reported again after their end, because a head has
	 * executed late orders, and forgets them.
	 * @return the groups since the last call
	 */
	public List<GroupId> takeRevivedGroups() {
		return this.endedGroups.takeRevivals();
	}

	/**
	 * Returns the groups that the planner tracks, for operators.
	 * @return the ids of the members, by the name of the group
	 */
	public Map<String, List<String>> groups() {
		final Map<String, List<String>> groups = new HashMap<>();
		this.trackedGroups.values()
			.forEach((tracked) -> groups.put(tracked.id.name(),
					tracked.memberIds.stream().map((id) -> (id != null) ? id : "unknown").toList()));
		return groups;
	}

}
