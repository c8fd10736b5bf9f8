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
	private static final int TERM_BITS = 20;

	private final GroupReview review;

	private final HostWeights weights = new HostWeights();

	private final GroupFormer former = new GroupFormer(this.weights);

	private final GroupExchange exchange = new GroupExchange(this.weights);

	private final WeightStaging staging = new WeightStaging(this.weights);

	private final LoadPacer pacer;

	private final Map<GroupId, GroupRecord> records = new HashMap<>();

	private final EndedGroups ended = new EndedGroups();

	private final UnansweredJoins unanswered = new UnansweredJoins();

	private long nowNanos;

	private long term;

	private long formedInTerm;

	/**
	 * Creates a planner that knows of no group.
	 * @param times the times to keep to
	 */
	public ReplicaPlanner(PlannerTimes times) {
		this.review = new GroupReview(times, Collections.unmodifiableSet(this.records.keySet()));
		this.pacer = new LoadPacer(times.loadWindowNanos());
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
			this.records.clear();
			this.ended.clear();
			this.pacer.takeOver(nowNanos);
			this.unanswered.takeOver(nowNanos);
		}
		// A lease that lapsed while the store was away may be held again under the number
		// that it had. Its epochs go on, as groups of that term still serve.
		if (newTerm != this.term) {
			this.formedInTerm = 0;
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
		this.unanswered.forgetOld(view.nowNanos());
		if (view.beforeTraffic()) {
			this.pacer.open();
		}
		final Map<String, ServingInstance> byId = new HashMap<>();
		view.instances().forEach((instance) -> byId.put(instance.id(), instance));
		this.weights.note(view.instances());
		learn(view);
		this.review.begin(view.nowNanos());
		this.records.values()
			.forEach(
					(known) -> known.headSilent |= known.headId() != null && view.silentIds().contains(known.headId()));
		this.records.values().removeIf((known) -> {
			final boolean over = this.review.review(view.nowNanos(), known, byId);
			if (over) {
				this.ended.add(view.nowNanos(), known);
			}
			return over;
		});
		final List<ReplicaOrder> stagings = supply(view, byId);
		final List<ReplicaOrder> orders = new ArrayList<>(this.review.orders());
		orders.addAll(stagings);
		return orders;
	}

	// Groups that another planner formed are known by their members' reports only.
	private void learn(PlannerView view) {
		final Map<GroupId, List<ServingInstance>> reported = new HashMap<>();
		view.instances()
			.forEach((instance) -> instance.membership()
				.ifPresent((own) -> reported.computeIfAbsent(own.group(), (group) -> new ArrayList<>()).add(instance)));
		this.ended.removeFrom(view.nowNanos(), reported);
		reported.forEach((group, members) -> {
			final Optional<EngineModel> model = view.engine().model(group.model());
			final GroupRecord known = this.records.get(group);
			if (model.isPresent() && (known == null || (!known.formedHere && known.memberIds.contains(null)))) {
				this.records.put(group, recordOf(view, group, model.get(), members, known));
			}
		});
	}

	private static GroupRecord recordOf(PlannerView view, GroupId group, EngineModel model,
			Collection<ServingInstance> members, GroupRecord before) {
		final String[] ids = new String[model.members()];
		members.forEach((instance) -> {
			final int rank = instance.membership().orElseThrow().rank();
			if (rank >= 0 && rank < ids.length) {
				ids[rank] = instance.id();
			}
		});
		final Optional<ServingInstance> departedHead = view.departed()
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
		final GroupRecord learnt = new GroupRecord(group, Arrays.asList(ids), 0, false,
				(before != null) ? before.sinceNanos : view.nowNanos());
		learnt.lastHead = departedHead.orElse(null);
		learnt.opened = true;
		if (before != null) {
			learnt.lossNanos = before.lossNanos;
			learnt.closed = before.closed;
			learnt.left = before.left;
			learnt.headSilent = before.headSilent;
			learnt.memberLeft = before.memberLeft;
			learnt.memberLeftNanos = before.memberLeftNanos;
		}
		return learnt;
	}

	private List<ReplicaOrder> supply(PlannerView view, Map<String, ServingInstance> byId) {
		final List<ServingInstance> free = new ArrayList<>(view.instances()
			.stream()
			.filter((instance) -> !instance.draining() && !this.review.isTaken(instance))
			.filter((instance) -> !this.unanswered.mayReach(view.nowNanos(), instance, view.departed()))
			.toList());
		this.former.note(view.nowNanos(), free);
		this.staging.begin(view.nowNanos(), byId);
		final boolean loadWaits = form(view, free, byId);
		final PoolCensus census = census(view, byId);
		if (!view.beforeTraffic()) {
			this.exchange.choose(view.engine(), free, serving(byId), byId, census)
				.forEach((known) -> known.dissolving = true);
		}
		return (loadWaits || this.staging.unsupported()) ? List.of() : stage(view, free, census, byId);
	}

	// Returns whether a group could be formed now but for the loads that it needs.
	private boolean form(PlannerView view, List<ServingInstance> free, Map<String, ServingInstance> byId) {
		final boolean loadsAllowed = view.beforeTraffic() || this.staging.unsupported();
		Optional<GroupFormer.Formation> next = this.former.next(view, free, census(view, byId), loadsAllowed);
		while (next.isPresent() && mayBegin(view, next.get(), byId)) {
			begin(view.nowNanos(), next.get());
			free.removeAll(next.get().members());
			next = this.former.next(view, free, census(view, byId), loadsAllowed);
		}
		return next.isPresent();
	}

	private PoolCensus census(PlannerView view, Map<String, ServingInstance> byId) {
		return new PoolCensus(view, this.records.values(), byId);
	}

	private List<GroupRecord> serving(Map<String, ServingInstance> byId) {
		return this.records.values()
			.stream()
			.filter((known) -> !known.dissolving)
			.filter((known) -> isServing(new GroupSight(known, byId)))
			.toList();
	}

	private static boolean isServing(GroupSight sight) {
		return sight.allListed() && sight.allPrepared() && !sight.anyDraining()
				&& sight.headState().filter((state) -> state == MemberState.OPEN).isPresent();
	}

	private List<ReplicaOrder> stage(PlannerView view, List<ServingInstance> free, PoolCensus census,
			Map<String, ServingInstance> byId) {
		final List<ReplicaOrder> orders = new ArrayList<>();
		Optional<ReplicaOrder.Stage> next = mayLoad(view, 1, byId) ? this.staging.next(view, census, free)
				: Optional.empty();
		while (next.isPresent()) {
			orders.add(next.get());
			next = mayLoad(view, 1, byId) ? this.staging.next(view, census, free) : Optional.empty();
		}
		return orders;
	}

	private boolean mayBegin(PlannerView view, GroupFormer.Formation formation, Map<String, ServingInstance> byId) {
		return formation.loads() == 0 || mayLoad(view, formation.loads(), byId);
	}

	private boolean mayLoad(PlannerView view, int loads, Map<String, ServingInstance> byId) {
		if (loading(byId) >= Math.max(1, view.engine().concurrentLoads())) {
			return false;
		}
		return view.beforeTraffic() || this.pacer.begin(view.nowNanos(), loads, view.engine());
	}

	// A group whose members had to load counts until they are prepared, and no longer
	// when one of them is lost afterwards.
	private int loading(Map<String, ServingInstance> byId) {
		return this.staging.loading() + this.records.values()
			.stream()
			.filter((known) -> known.loads > 0 && new GroupSight(known, byId).anyJoining())
			.mapToInt((known) -> known.loads)
			.sum();
	}

	private void begin(long nowNanos, GroupFormer.Formation formation) {
		this.formedInTerm++;
		final GroupId group = GroupId.of(formation.model().name(), (this.term << TERM_BITS) + this.formedInTerm);
		final GroupRecord formed = new GroupRecord(group,
				formation.members().stream().map(ServingInstance::id).toList(), formation.loads(), true, nowNanos);
		this.records.put(group, formed);
		formation.members().forEach((member) -> {
			this.review.take(member.id());
			this.review.join(nowNanos, formed, member);
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
			this.unanswered.add(this.nowNanos, order.instance());
		}
		if (order instanceof ReplicaOrder.OfGroup ofGroup) {
			onGroupOutcome(ofGroup, outcome);
		}
		else if (outcome == OrderOutcome.INVALID) {
			this.staging.unknownTo(order.instance().id());
		}
	}

	private void onGroupOutcome(ReplicaOrder.OfGroup order, OrderOutcome outcome) {
		final GroupRecord known = this.records.get(order.group());
		if (known != null && order instanceof ReplicaOrder.Close) {
			known.closed |= outcome == OrderOutcome.STARTED || outcome == OrderOutcome.HOLDS;
			known.headSilent |= outcome == OrderOutcome.UNKNOWN;
			// One that is in no such group, or another process, holds nothing of it.
			known.left |= outcome == OrderOutcome.UNFIT || outcome == OrderOutcome.OTHER_INSTANCE;
		}
		if (known != null && order instanceof ReplicaOrder.Leave) {
			final boolean ofHead = order.instance().id().equals(known.headId());
			final boolean done = outcome != OrderOutcome.UNKNOWN && outcome != OrderOutcome.FENCED;
			known.left |= ofHead && done && outcome != OrderOutcome.UNFIT;
			known.headSilent |= ofHead && outcome == OrderOutcome.UNKNOWN;
			known.memberLeft |= !ofHead && done;
		}
		final boolean refused = outcome == OrderOutcome.FENCED || outcome == OrderOutcome.OTHER_INSTANCE
				|| outcome == OrderOutcome.INVALID;
		if (known != null && refused && order instanceof ReplicaOrder.Join) {
			known.refused = true;
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
		for (final GroupRecord known : this.records.values()) {
			final GroupSight sight = new GroupSight(known, byId);
			final int members = (int) known.memberIds.stream().filter(byId::containsKey).count();
			if (isServing(sight)) {
				serving.merge(known.group.model(), 1, Integer::sum);
			}
			else if (sight.allListed() && !known.opened) {
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
				forming, waiting, freeWarm, free.size() - freeWarm, loading(byId));
	}

	/**
	 * Returns the groups that the planner knows, for operators.
	 * @return for each group the ids of its members
	 */
	public Map<String, List<String>> groups() {
		final Map<String, List<String>> groups = new HashMap<>();
		this.records.values()
			.forEach((known) -> groups.put(known.group.name(),
					known.memberIds.stream().map((id) -> (id != null) ? id : "unknown").toList()));
		return groups;
	}

}
