package org.pistachioline.core.replica;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.pistachioline.core.route.EngineModel;

/**
 * Keeps the instances of one service in groups that serve.
 * <p>
 * It compares what the instances report with what should be and orders the difference, so
 * that a planner that takes over goes on from the reports alone. Orders may be lost, or
 * be carried out seconds late and after newer ones: each names its group and epoch, and
 * epochs only rise over all planners, so that a late order cannot undo a newer one. One
 * thread calls it.
 */
public final class ReplicaPlanner {

	/**
	 * How many groups one planner may form in one term; epochs of terms do not overlap.
	 */
	private static final int EPOCH_COUNTER_BITS = 20;

	private final GroupReconciler reconciler;

	private final WeightInventory weights = new WeightInventory();

	private final GroupAllocator allocator = new GroupAllocator(this.weights);

	private final GroupRebalancer rebalancer = new GroupRebalancer(this.weights);

	private final WeightStaging staging = new WeightStaging(this.weights);

	private final WeightLoadLimiter loadLimiter;

	private final Map<GroupId, TrackedGroup> trackedGroups = new HashMap<>();

	private final EndedGroups endedGroups = new EndedGroups();

	private final UnansweredJoins unansweredJoins = new UnansweredJoins();

	private long nowNanos;

	private long term;

	private long groupsFormedInTerm;

	/**
	 * Creates a planner that knows of no group.
	 * @param times the times to keep to
	 */
	public ReplicaPlanner(PlannerTimes times) {
		this.reconciler = new GroupReconciler(times, Collections.unmodifiableSet(this.trackedGroups.keySet()));
		this.loadLimiter = new WeightLoadLimiter(times.loadWindowNanos());
	}

	/**
	 * Begins a term: this daemon has become the planner, or its lease was renewed under a
	 * higher number.
	 * @param nowNanos the monotonic time
	 * @param newTerm the lease's number, which rises with every change of its holder
	 * @param heldBefore whether this daemon held the lease all the while
	 */
	public void beginTerm(long nowNanos, long newTerm, boolean heldBefore) {
		if (!heldBefore) {
			this.trackedGroups.clear();
			this.endedGroups.clear();
			this.loadLimiter.takeOver(nowNanos);
			this.unansweredJoins.takeOver(nowNanos);
		}
		// A lease that lapsed while the store was away may be held again under the number
		// that it had. Its epochs go on, as groups of that term still serve.
		if (newTerm != this.term) {
			this.groupsFormedInTerm = 0;
		}
		this.term = newTerm;
	}

	/**
	 * Decides which orders are sent now.
	 * @param view what is seen
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
			.forEach((known) -> known.headUnresponsive |= known.headId() != null
					&& view.unresponsiveIds().contains(known.headId()));
		this.trackedGroups.values().removeIf((known) -> {
			final boolean over = this.reconciler.reconcile(view.nowNanos(), known, byId);
			if (over) {
				this.endedGroups.add(view.nowNanos(), known);
			}
			return over;
		});
		final List<ReplicaOrder> stagings = assignFreeInstances(view, byId);
		final List<ReplicaOrder> orders = new ArrayList<>(this.reconciler.orders());
		orders.addAll(stagings);
		return orders;
	}

	// Groups that another planner formed are known by their members' reports only.
	private void trackReportedGroups(PlannerView view) {
		final Map<GroupId, List<ServingInstance>> reported = new HashMap<>();
		view.instances()
			.forEach((instance) -> instance.membership()
				.ifPresent((own) -> reported.computeIfAbsent(own.group(), (group) -> new ArrayList<>()).add(instance)));
		this.endedGroups.removeEnded(view.nowNanos(), reported);
		reported.forEach((group, members) -> {
			final Optional<EngineModel> model = view.engine().model(group.model());
			final TrackedGroup known = this.trackedGroups.get(group);
			if (model.isPresent()
					&& (known == null || (!known.formedByThisPlanner && known.memberIds.contains(null)))) {
				this.trackedGroups.put(group, reconstruct(view, group, model.get(), members, known));
			}
		});
	}

	private static TrackedGroup reconstruct(PlannerView view, GroupId group, EngineModel model,
			Collection<ServingInstance> members, TrackedGroup before) {
		final String[] ids = new String[model.members()];
		members.forEach((instance) -> {
			final int rank = instance.membership().orElseThrow().rank();
			if (rank >= 0 && rank < ids.length) {
				ids[rank] = instance.id();
			}
		});
		final Optional<ServingInstance> departedHead = view.delisted()
			.stream()
			.filter((instance) -> instance.isMemberOf(group) && instance.membership().orElseThrow().rank() == 0)
			.findFirst();
		if (ids[0] == null) {
			ids[0] = departedHead.map(ServingInstance::id).orElse(null);
		}
		if (before != null) {
			// A member that has left no longer reports the group, but it is not free yet.
			for (int rank = 0; rank < ids.length; rank++) {
				ids[rank] = (ids[rank] != null) ? ids[rank] : before.memberIds.get(rank);
			}
		}
		final TrackedGroup learnt = new TrackedGroup(group, Arrays.asList(ids), 0, false,
				(before != null) ? before.trackedSinceNanos : view.nowNanos());
		learnt.lastListedHead = departedHead.orElse(null);
		learnt.openOrdered = true;
		if (before != null) {
			learnt.incompleteSinceNanos = before.incompleteSinceNanos;
			learnt.headClosed = before.headClosed;
			learnt.headLeft = before.headLeft;
			learnt.headUnresponsive = before.headUnresponsive;
			learnt.followerLeft = before.followerLeft;
			learnt.followerLeftAtNanos = before.followerLeftAtNanos;
		}
		return learnt;
	}

	private List<ReplicaOrder> assignFreeInstances(PlannerView view, Map<String, ServingInstance> byId) {
		final List<ServingInstance> free = new ArrayList<>(view.instances()
			.stream()
			.filter((instance) -> !instance.draining() && !this.reconciler.isReserved(instance))
			.filter((instance) -> !this.unansweredJoins.mayReach(view.nowNanos(), instance, view.delisted()))
			.toList());
		this.allocator.updateIdleTimes(view.nowNanos(), free);
		this.staging.removeFinishedLoads(view.nowNanos(), byId);
		final boolean loadWaits = formGroups(view, free, byId);
		final ModelInstanceCounts census = countInstances(view, byId);
		if (!view.beforeTraffic()) {
			this.rebalancer.selectGroupsToClose(view.engine(), free, servingGroups(byId), byId, census)
				.forEach((known) -> known.dissolving = true);
		}
		return (loadWaits || this.staging.hasUnsupported()) ? List.of() : stageWeights(view, free, census, byId);
	}

	// Returns whether a group could be formed now but for the loads that it needs.
	private boolean formGroups(PlannerView view, List<ServingInstance> free, Map<String, ServingInstance> byId) {
		final boolean loadsAllowed = view.beforeTraffic() || this.staging.hasUnsupported();
		Optional<GroupAllocator.Proposal> next = this.allocator.nextProposal(view, free, countInstances(view, byId),
				loadsAllowed);
		while (next.isPresent() && tryStartLoadsOf(view, next.get(), byId)) {
			startGroup(view.nowNanos(), next.get());
			free.removeAll(next.get().members());
			next = this.allocator.nextProposal(view, free, countInstances(view, byId), loadsAllowed);
		}
		return next.isPresent();
	}

	private ModelInstanceCounts countInstances(PlannerView view, Map<String, ServingInstance> byId) {
		return new ModelInstanceCounts(view, this.trackedGroups.values(), byId);
	}

	private List<TrackedGroup> servingGroups(Map<String, ServingInstance> byId) {
		return this.trackedGroups.values()
			.stream()
			.filter((known) -> !known.dissolving)
			.filter((known) -> isServing(new GroupStatus(known, byId)))
			.toList();
	}

	private static boolean isServing(GroupStatus sight) {
		return sight.allListed() && sight.allReady() && !sight.anyDraining()
				&& sight.headState().filter((state) -> state == MemberState.OPEN).isPresent();
	}

	private List<ReplicaOrder> stageWeights(PlannerView view, List<ServingInstance> free, ModelInstanceCounts census,
			Map<String, ServingInstance> byId) {
		final List<ReplicaOrder> orders = new ArrayList<>();
		Optional<ReplicaOrder.Stage> next = tryStartLoads(view, 1, byId) ? this.staging.nextOrder(view, census, free)
				: Optional.empty();
		while (next.isPresent()) {
			orders.add(next.get());
			next = tryStartLoads(view, 1, byId) ? this.staging.nextOrder(view, census, free) : Optional.empty();
		}
		return orders;
	}

	private boolean tryStartLoadsOf(PlannerView view, GroupAllocator.Proposal formation,
			Map<String, ServingInstance> byId) {
		return formation.weightLoads() == 0 || tryStartLoads(view, formation.weightLoads(), byId);
	}

	private boolean tryStartLoads(PlannerView view, int loads, Map<String, ServingInstance> byId) {
		if (countLoadsInProgress(byId) >= Math.max(1, view.engine().concurrentLoads())) {
			return false;
		}
		return view.beforeTraffic() || this.loadLimiter.tryStart(view.nowNanos(), loads, view.engine());
	}

	// A group whose members had to load counts until they are prepared, and no longer
	// when one of them is lost afterwards.
	private int countLoadsInProgress(Map<String, ServingInstance> byId) {
		return this.staging.countLoadsInProgress() + this.trackedGroups.values()
			.stream()
			.filter((known) -> known.weightLoads > 0 && new GroupStatus(known, byId).anyJoining())
			.mapToInt((known) -> known.weightLoads)
			.sum();
	}

	private void startGroup(long nowNanos, GroupAllocator.Proposal formation) {
		this.groupsFormedInTerm++;
		final GroupId group = GroupId.of(formation.model().name(),
				(this.term << EPOCH_COUNTER_BITS) + this.groupsFormedInTerm);
		final TrackedGroup formed = new TrackedGroup(group,
				formation.members().stream().map(ServingInstance::id).toList(), formation.weightLoads(), true,
				nowNanos);
		this.trackedGroups.put(group, formed);
		formation.members().forEach((member) -> {
			this.reconciler.reserve(member.id());
			this.reconciler.orderJoin(nowNanos, formed, member);
		});
	}

	/**
	 * Takes what came of an order. Only a refusal for good changes anything: all else
	 * shows in the instances' reports.
	 * @param order the order
	 * @param outcome what came of it
	 */
	public void onOutcome(ReplicaOrder order, OrderOutcome outcome) {
		if (order instanceof ReplicaOrder.Join && outcome == OrderOutcome.UNKNOWN) {
			this.unansweredJoins.add(this.nowNanos, order.instance());
		}
		if (order instanceof ReplicaOrder.GroupOrder ofGroup) {
			onGroupOutcome(ofGroup, outcome);
		}
		else if (outcome == OrderOutcome.INVALID) {
			this.staging.markUnsupported(order.instance().id());
		}
	}

	private void onGroupOutcome(ReplicaOrder.GroupOrder order, OrderOutcome outcome) {
		final TrackedGroup known = this.trackedGroups.get(order.group());
		if (known != null && order instanceof ReplicaOrder.Close) {
			known.headClosed |= outcome == OrderOutcome.STARTED || outcome == OrderOutcome.HOLDS;
			known.headUnresponsive |= outcome == OrderOutcome.UNKNOWN;
			// One that is in no such group, or another process, holds nothing of it.
			known.headLeft |= outcome == OrderOutcome.UNFIT || outcome == OrderOutcome.OTHER_INSTANCE;
		}
		if (known != null && order instanceof ReplicaOrder.Leave) {
			final boolean ofHead = order.instance().id().equals(known.headId());
			final boolean done = outcome != OrderOutcome.UNKNOWN && outcome != OrderOutcome.FENCED;
			known.headLeft |= ofHead && done && outcome != OrderOutcome.UNFIT;
			known.headUnresponsive |= ofHead && outcome == OrderOutcome.UNKNOWN;
			known.followerLeft |= !ofHead && done;
		}
		final boolean refused = outcome == OrderOutcome.FENCED || outcome == OrderOutcome.OTHER_INSTANCE
				|| outcome == OrderOutcome.INVALID;
		if (known != null && refused && order instanceof ReplicaOrder.Join) {
			known.joinRefused = true;
		}
	}

	/**
	 * Sums up where the instances are, for operators.
	 * @param instances the listed instances
	 * @return the sums, as of the last turn
	 */
	public PoolSummary summary(Collection<ServingInstance> instances) {
		final Map<String, ServingInstance> byId = new HashMap<>();
		instances.forEach((instance) -> byId.put(instance.id(), instance));
		final Map<String, Integer> serving = new HashMap<>();
		final Set<String> grouped = new HashSet<>();
		int forming = 0;
		int waiting = 0;
		for (final TrackedGroup known : this.trackedGroups.values()) {
			final GroupStatus sight = new GroupStatus(known, byId);
			final int members = (int) known.memberIds.stream().filter(byId::containsKey).count();
			if (isServing(sight)) {
				serving.merge(known.id.model(), 1, Integer::sum);
			}
			else if (sight.allListed() && !known.openOrdered) {
				forming += members;
			}
			else {
				waiting += members;
			}
			grouped.addAll(known.memberIds);
		}
		final List<ServingInstance> free = instances.stream()
			.filter((instance) -> !instance.draining() && !grouped.contains(instance.id()))
			.toList();
		final int freeWarm = (int) free.stream().filter(this.weights::holdsAny).count();
		return new PoolSummary(byId.size(), (int) instances.stream().filter(ServingInstance::draining).count(), serving,
				forming, waiting, freeWarm, free.size() - freeWarm, countLoadsInProgress(byId));
	}

	/**
	 * Returns the groups that the planner knows, for operators.
	 * @return for each group the ids of its members
	 */
	public Map<String, List<String>> groups() {
		final Map<String, List<String>> groups = new HashMap<>();
		this.trackedGroups.values()
			.forEach((known) -> groups.put(known.id.name(),
					known.memberIds.stream().map((id) -> (id != null) ? id : "unknown").toList()));
		return groups;
	}

}
