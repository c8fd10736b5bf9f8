package org.pistachioline.core.replica;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

import org.pistachioline.core.route.EngineModel;
import org.pistachioline.core.route.EngineSpec;

/**
 * Instances that die, lose the way to the list and carry orders out late, and two daemons
 * that plan by turns, in virtual time. It notes every order that must not have been
 * carried out.
 */
final class ReplicaSimulation {

	static final EngineSpec ENGINE_SPEC = new EngineSpec(12, List.of(new EngineModel("large", 4, 0.5, 1, 16_000, 1_600),
			new EngineModel("small", 2, 0.5, 0.6, 12_000, 1_100)), 5, 7, 300);

	private static final long STEP_MILLIS = 100;

	private static final long STALL_TIMEOUT_MILLIS = 6_000;

	private static final long HEARTBEAT_MILLIS = 1_200;

	private static final long PARTITION_MILLIS = 10_000;

	private static final long LONG_PARTITION_MILLIS = 40_000;

	private static final long LIST_LAG_MILLIS = 400;

	final List<String> violations = new ArrayList<>();

	private final Random random;

	private final Map<String, SimulatedInstance> instances = new TreeMap<>();

	private final PriorityQueue<LateOrder> lateOrders = new PriorityQueue<>(
			(first, second) -> Long.compare(first.atMillis(), second.atMillis()));

	private final List<Map<String, ServingInstance>> listHistory = new ArrayList<>();

	private final DelistedInstances delisted = new DelistedInstances();

	private final ReplicaPlanner[] planners = new ReplicaPlanner[2];

	private final double lostRatio;

	private final double lateRatio;

	private long nowMillis;

	private long term = 1;

	private int leaseHolder;

	private int nextId;

	/**
	 * Where an instance that died has started again: orders for it reach the new life.
	 */
	private final Map<String, String> restartedAs = new HashMap<>();

	/** Whether instances that nobody reaches stay so for longer than any timeout. */
	boolean longPartitions;

	/** Whether instances that die start again at once at the same address. */
	boolean restartAtSameAddress;

	/**
	 * Whether an order that an instance left unanswered is carried out by its next life.
	 */
	boolean lateOrdersReachRestarted;

	ReplicaSimulation(long seed, int domains, double lostRatio, double lateRatio) {
		this.random = new Random(seed);
		this.lostRatio = lostRatio;
		this.lateRatio = lateRatio;
		for (int i = 0; i < domains * 10; i++) {
			addInstance("domain-" + i / 10);
		}
		final PlannerTimes times = new PlannerTimes(STALL_TIMEOUT_MILLIS * 1_000_000, 5_000_000_000L);
		this.planners[0] = new ReplicaPlanner(times);
		this.planners[1] = new ReplicaPlanner(times);
		this.planners[0].beginTerm(0, this.term, false);
	}

	private SimulatedInstance addInstance(String domain) {
		final SimulatedInstance engine = new SimulatedInstance("i-" + this.nextId++, domain);
		this.instances.put(engine.id, engine);
		return engine;
	}

	void run(long millis, boolean troubled) {
		final long endMillis = this.nowMillis + millis;
		while (this.nowMillis < endMillis) {
			this.nowMillis += STEP_MILLIS;
			if (troubled) {
				injectFaults();
			}
			deliverLateOrders();
			this.instances.values().forEach(this::advance);
			updateList();
			plan();
		}
	}

	private void injectFaults() {
		if (this.random.nextInt(15) == 0) {
			final List<SimulatedInstance> alive = this.instances.values()
				.stream()
				.filter((engine) -> engine.alive)
				.toList();
			final SimulatedInstance dead = alive.get(this.random.nextInt(alive.size()));
			dead.alive = false;
			dead.failedAtMillis = this.nowMillis;
			replace(dead);
		}
		if (this.random.nextInt(40) == 0) {
			final List<SimulatedInstance> all = List.copyOf(this.instances.values());
			final SimulatedInstance cut = all.get(this.random.nextInt(all.size()));
			cut.unreachable = this.random.nextInt(3) == 0;
			cut.partitionedUntilMillis = this.nowMillis
					+ ((cut.unreachable && this.longPartitions) ? LONG_PARTITION_MILLIS : PARTITION_MILLIS);
		}
		if (this.random.nextInt(60) == 0) {
			this.leaseHolder = 1 - this.leaseHolder;
			this.term++;
			this.planners[this.leaseHolder].beginTerm(this.nowMillis * 1_000_000, this.term, false);
		}
	}

	private void replace(SimulatedInstance dead) {
		final SimulatedInstance next = addInstance(dead.domain);
		if (this.restartAtSameAddress) {
			next.address = dead.address;
			this.restartedAs.put(dead.id, next.id);
			// The list has one entry for both lives, and shows the later one.
			dead.restarted = true;
		}
	}

	private SimulatedInstance currentInstance(ReplicaOrder order) {
		String id = order.instance().id();
		while (this.restartedAs.containsKey(id)) {
			id = this.restartedAs.get(id);
		}
		return this.instances.get(id);
	}

	private void advance(SimulatedInstance engine) {
		if (engine.alive && !engine.stagingModel.isEmpty() && this.nowMillis >= engine.stagedAtMillis) {
			engine.stagedModels = Set.of(engine.stagingModel);
			engine.stagingModel = "";
		}
		if (!engine.alive || engine.group == null) {
			return;
		}
		if (engine.state == MemberState.JOINING && this.nowMillis >= engine.readyAtMillis) {
			engine.state = MemberState.READY;
			engine.everReady.add(engine.group);
		}
		if (engine.state == MemberState.OPEN) {
			final long lostAtMillis = memberLostSince(engine);
			if (lostAtMillis >= 0 && this.nowMillis - lostAtMillis >= STALL_TIMEOUT_MILLIS) {
				engine.state = MemberState.BROKEN;
			}
		}
	}

	private long memberLostSince(SimulatedInstance head) {
		long since = -1;
		for (final String id : head.members) {
			final SimulatedInstance member = this.instances.get(id);
			if (!member.alive) {
				since = Math.max(since, member.failedAtMillis);
			}
			else if (!head.group.equals(member.group)) {
				since = Math.max(since, member.groupChangedAtMillis);
			}
		}
		return since;
	}

	private void updateList() {
		final Map<String, ServingInstance> listed = new HashMap<>();
		for (final SimulatedInstance engine : this.instances.values()) {
			final long silentMillis = engine.alive ? this.nowMillis - engine.partitionedSince(this.nowMillis)
					: this.nowMillis - engine.failedAtMillis;
			if (silentMillis >= 3 * HEARTBEAT_MILLIS || engine.restarted) {
				engine.lastListed = null;
			}
			else if (engine.alive && silentMillis == 0) {
				engine.lastListed = engine.report();
			}
			if (engine.lastListed != null) {
				listed.put(engine.id, engine.lastListed);
			}
		}
		this.listHistory.add(listed);
	}

	private void plan() {
		final int lag = (int) (LIST_LAG_MILLIS / STEP_MILLIS);
		if (this.listHistory.size() <= lag) {
			return;
		}
		final Map<String, ServingInstance> seen = this.listHistory.get(this.listHistory.size() - 1 - lag);
		this.delisted.update(this.nowMillis * 1_000_000, seen.values());
		final ReplicaPlanner planner = this.planners[this.leaseHolder];
		final long fencingToken = this.term;
		planner
			.plan(new PlannerView(this.nowMillis * 1_000_000, ENGINE_SPEC, seen.values(), this.delisted.instances(),
					Set.of(), this.nowMillis < 15_000))
			.forEach((order) -> send(planner, order, fencingToken));
	}

	private void send(ReplicaPlanner planner, ReplicaOrder order, long fencingToken) {
		final double draw = this.random.nextDouble();
		if (draw < this.lostRatio) {
			planner.onOutcome(order, OrderOutcome.UNKNOWN);
		}
		else if (draw < this.lostRatio + this.lateRatio) {
			planner.onOutcome(order, OrderOutcome.UNKNOWN);
			this.lateOrders
				.add(new LateOrder(this.nowMillis + 2_000 + this.random.nextInt(10_000), order, fencingToken));
		}
		else {
			planner.onOutcome(order, execute(order, fencingToken));
		}
	}

	private void deliverLateOrders() {
		while (!this.lateOrders.isEmpty() && this.lateOrders.peek().atMillis() <= this.nowMillis) {
			final LateOrder delivery = this.lateOrders.poll();
			final boolean ended = this.restartedAs.containsKey(delivery.order().instance().id());
			if (ended && !this.lateOrdersReachRestarted) {
				continue;
			}
			execute(delivery.order(), delivery.fencingToken());
		}
	}

	private OrderOutcome execute(ReplicaOrder order, long fencingToken) {
		final SimulatedInstance engine = currentInstance(order);
		if (!engine.alive || (engine.unreachable && this.nowMillis < engine.partitionedUntilMillis)) {
			return OrderOutcome.UNKNOWN;
		}
		if (fencingToken < engine.highestFencingToken) {
			return OrderOutcome.FENCED;
		}
		engine.highestFencingToken = fencingToken;
		if (order instanceof ReplicaOrder.Stage stage) {
			return stage(engine, stage.model());
		}
		final GroupId group = ((ReplicaOrder.GroupOrder) order).group();
		if (order instanceof ReplicaOrder.Join join) {
			return join(engine, join);
		}
		if (!group.equals(engine.group)) {
			return OrderOutcome.UNFIT;
		}
		if (order instanceof ReplicaOrder.Leave) {
			engine.group = null;
			engine.state = null;
			engine.groupChangedAtMillis = this.nowMillis;
			return OrderOutcome.STARTED;
		}
		return (order instanceof ReplicaOrder.Open) ? open(engine) : close(engine);
	}

	private OrderOutcome stage(SimulatedInstance engine, String model) {
		if (engine.stagedModels.contains(model) || engine.stagingModel.equals(model)) {
			return OrderOutcome.HOLDS;
		}
		final long loadMillis = ENGINE_SPEC.model(model).orElseThrow().loadMillis();
		engine.stagingModel = model;
		engine.stagedAtMillis = this.nowMillis + ((this.nowMillis < 15_000) ? loadMillis / 10 : loadMillis);
		return OrderOutcome.STARTED;
	}

	private OrderOutcome join(SimulatedInstance engine, ReplicaOrder.Join join) {
		if (join.group().equals(engine.group)) {
			return engine.members.equals(join.memberIds()) ? OrderOutcome.HOLDS : OrderOutcome.FENCED;
		}
		if (join.group().epoch() < engine.epoch) {
			return OrderOutcome.FENCED;
		}
		checkNotTakenFromServingGroup(engine, join);
		engine.epoch = join.group().epoch();
		engine.group = join.group();
		engine.members = join.memberIds();
		engine.groupChangedAtMillis = this.nowMillis;
		engine.state = MemberState.JOINING;
		final String model = join.group().model();
		if (model.equals(engine.lastModel)) {
			engine.readyAtMillis = this.nowMillis + 200;
		}
		else if (engine.stagedModels.contains(model)) {
			engine.readyAtMillis = this.nowMillis + 1_200;
		}
		else {
			engine.stagedModels = Set.of(model);
			engine.readyAtMillis = this.nowMillis + ((this.nowMillis < 15_000) ? 1_600 : 14_000);
		}
		engine.lastModel = model;
		return OrderOutcome.STARTED;
	}

	private void checkNotTakenFromServingGroup(SimulatedInstance engine, ReplicaOrder.Join join) {
		if (engine.group == null) {
			return;
		}
		final SimulatedInstance head = this.instances.get(engine.members.get(0));
		if (head.alive && engine.group.equals(head.group)
				&& (head.state == MemberState.OPEN || head.state == MemberState.CLOSING)) {
			this.violations.add(this.nowMillis + ": " + engine.id + " taken into " + join.group() + " while " + head.id
					+ " serves " + engine.group + "; when it was ordered the list showed it in "
					+ join.instance().membership().map((own) -> own.group().name()).orElse("none"));
		}
	}

	private OrderOutcome open(SimulatedInstance head) {
		if (head.state == MemberState.OPEN) {
			return OrderOutcome.HOLDS;
		}
		if (head.state != MemberState.READY || !head.members.get(0).equals(head.id)) {
			return OrderOutcome.UNFIT;
		}
		for (final String id : head.members) {
			if (!this.instances.get(id).everReady.contains(head.group)) {
				this.violations.add(this.nowMillis + ": " + head.group + " opened though " + id + " was never ready");
			}
		}
		head.state = MemberState.OPEN;
		return OrderOutcome.STARTED;
	}

	private OrderOutcome close(SimulatedInstance head) {
		if (head.state == MemberState.OPEN) {
			head.state = MemberState.READY;
			return OrderOutcome.STARTED;
		}
		return OrderOutcome.HOLDS;
	}

	/**
	 * Counts the instances in groups that serve as a whole.
	 * @return the number of instances
	 */
	int countServingInstances() {
		int count = 0;
		for (final SimulatedInstance engine : this.instances.values()) {
			if (engine.alive && engine.state == MemberState.OPEN && memberLostSince(engine) < 0) {
				count += engine.members.size();
			}
		}
		return count;
	}

	/**
	 * Counts a model's groups that serve as a whole.
	 * @param model the model
	 * @return the number of groups
	 */
	int countServingGroups(String model) {
		return (int) this.instances.values()
			.stream()
			.filter((engine) -> engine.alive && engine.state == MemberState.OPEN && memberLostSince(engine) < 0)
			.filter((engine) -> engine.group.model().equals(model))
			.count();
	}

	/**
	 * Kills two members of groups in one zone, which two domains share, and adds two
	 * empty instances there.
	 */
	void failTwoMembers(boolean replaced) {
		final int zone = this.random.nextInt(3);
		final List<String> domains = List.of("domain-" + 2 * zone, "domain-" + (2 * zone + 1));
		for (int i = 0; i < 2; i++) {
			final List<SimulatedInstance> grouped = this.instances.values()
				.stream()
				.filter((engine) -> engine.alive && engine.group != null && domains.contains(engine.domain))
				.toList();
			final SimulatedInstance dead = grouped.get(this.random.nextInt(grouped.size()));
			dead.alive = false;
			dead.failedAtMillis = this.nowMillis;
			if (replaced) {
				addInstance(domains.get(i));
			}
		}
	}

	private record LateOrder(long atMillis, ReplicaOrder order, long fencingToken) {

	}

}
