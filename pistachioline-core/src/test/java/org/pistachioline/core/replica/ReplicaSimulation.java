package org.pistachioline.core.replica;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;

import org.pistachioline.core.route.EngineModel;
import org.pistachioline.core.route.EngineSpec;

/**
 * Simulates, in virtual time, instances that fail, are disconnected from the instance
 * list and execute orders late, and two daemons that alternate as the planner. It records
 * every order that violates the planner's guarantees.
 */
final class ReplicaSimulation {

	static final EngineSpec ENGINE_SPEC = new EngineSpec(12, List.of(new EngineModel("large", 4, 0.5, 1, 16_000, 1_600),
			new EngineModel("small", 2, 0.5, 0.6, 12_000, 1_100)), 5, 7, 300);

	private static final long STEP_MILLIS = 100;

	static final long STALL_TIMEOUT_MILLIS = 6_000;

	static final long HEARTBEAT_MILLIS = 1_200;

	static final long TRAFFIC_STARTS_AT_MILLIS = 15_000;

	static final long LIST_LAG_MILLIS = 400;

	final EngineSpec engine;

	final SimulatedWeightStore weightStore;

	final List<String> violations = new ArrayList<>();

	final Random random;

	final Map<String, SimulatedInstance> instances = new TreeMap<>();

	private final SimulatedInstanceList instanceList = new SimulatedInstanceList(this);

	private final SimulatedFaults faults = new SimulatedFaults(this);

	final SimulatedExecution execution;

	final SimulatedTransport transport;

	private final DelistedInstances delisted = new DelistedInstances();

	private final ReplicaPlanner[] planners = new ReplicaPlanner[2];

	private final FencingTokens[] fencingTokens = { new FencingTokens(), new FencingTokens() };

	long nowMillis;

	private long term = 1;

	private int leaseHolder;

	private int nextId;

	/**
	 * Maps a terminated instance to the one that restarted at its address and receives
	 * its orders.
	 */
	final Map<String, String> restartedAs = new HashMap<>();

	/** The availability zones to be evacuated. */
	Set<String> evacuatedZones = Set.of();

	/** Whether unreachable instances stay unreachable for longer than any timeout. */
	boolean longPartitions;

	/** Whether failed instances restart at once at the same address. */
	boolean restartAtSameAddress;

	/**
	 * Whether a restarted instance executes the late orders of the terminated one.
	 */
	boolean lateOrdersReachRestarted;

	/** Whether instances reject orders with a lower fencing token than an earlier one. */
	final boolean fencingEnforced;

	/**
	 * Whether the planner's lease lapses at times and is reacquired in the same term.
	 */
	boolean leaseLapses;

	/** Whether the store is unavailable at times, so that the list stands still. */
	boolean storeOutages;

	/**
	 * Whether outages of the store are long, and entries are missing for up to two
	 * seconds after them.
	 */
	boolean listGapsAfterOutages;

	/** Whether half of the late orders reach an instance that the store just lost. */
	boolean cutsDuringLateOrders;

	/** Whether a daemon keeps the lease through changes of the term at times. */
	boolean leaseKeptThroughTerms;

	/** Whether the planner changes several times within seconds at times. */
	boolean rapidPlannerChanges;

	/** Whether some orders overtake earlier ones to the same instance. */
	boolean crossingOrders;

	/** Whether answers, and the lack of one, are known a second after the order. */
	boolean lateAnswers;

	/**
	 * Whether failed instances restart within a second under the same id as another
	 * incarnation, and the late orders to them arrive within a second after that.
	 */
	boolean restartsKeepId;

	/** Whether only orders that begin something raise the lowest accepted token. */
	boolean onlyEffectsRaiseFence;

	/** The time between two instances that are listed when the fleet starts. */
	long listingIntervalMillis;

	/** The shares of demand that the planners are told; empty if they are told none. */
	Map<String, Double> demandShareRatios = Map.of();

	ReplicaSimulation(long seed, int domains, double lostRatio, double lateRatio, boolean fleetDecisions) {
		this(seed, domains, lostRatio, lateRatio, fleetDecisions, OrderFencing.ENFORCED);
	}

	ReplicaSimulation(long seed, int domains, double lostRatio, double lateRatio, boolean fleetDecisions,
			OrderFencing fencing) {
		this(seed, ENGINE_SPEC, domains, 10, lostRatio, lateRatio, fleetDecisions, Integer.MAX_VALUE, fencing);
	}

	ReplicaSimulation(long seed, EngineSpec engine, int domains, int domainSize, double lostRatio, double lateRatio,
			boolean fleetDecisions, int fullSpeedLoads) {
		this(seed, engine, domains, domainSize, lostRatio, lateRatio, fleetDecisions, fullSpeedLoads,
				OrderFencing.ENFORCED);
	}

	private ReplicaSimulation(long seed, EngineSpec engine, int domains, int domainSize, double lostRatio,
			double lateRatio, boolean fleetDecisions, int fullSpeedLoads, OrderFencing fencing) {
		this.fencingEnforced = fencing == OrderFencing.ENFORCED;
		this.random = new Random(seed);
		this.execution = new SimulatedExecution(this, !fleetDecisions);
		this.engine = engine;
		this.weightStore = new SimulatedWeightStore(fullSpeedLoads);
		this.transport = new SimulatedTransport(this, lostRatio, lateRatio);
		for (int i = 0; i < domains * domainSize; i++) {
			addInstance("domain-" + i / domainSize);
		}
		final PlannerTimes times = new PlannerTimes(STALL_TIMEOUT_MILLIS * 1_000_000, 5_000_000_000L);
		this.planners[0] = new ReplicaPlanner(times, fleetDecisions, fencing);
		this.planners[1] = new ReplicaPlanner(times, fleetDecisions, fencing);
		this.planners[0].beginTerm(0, this.term);
	}

	SimulatedInstance addInstance(String domain) {
		final SimulatedInstance instance = new SimulatedInstance("i-" + this.nextId++, domain);
		this.instances.put(instance.id, instance);
		return instance;
	}

	void run(long millis, boolean withFaults) {
		final long endMillis = this.nowMillis + millis;
		while (this.nowMillis < endMillis) {
			this.nowMillis += STEP_MILLIS;
			if (withFaults) {
				this.faults.inject();
			}
			this.transport.deliver();
			this.instances.values().forEach(this.execution::advance);
			this.instanceList.update(this.faults.storeUnavailable());
			plan();
		}
	}

	long memberLostSince(SimulatedInstance head) {
		long sinceMillis = -1;
		for (final String id : head.members) {
			final SimulatedInstance member = member(id);
			if (!head.group.equals(member.group)) {
				sinceMillis = Math.max(sinceMillis, member.groupChangedAtMillis);
			}
			else if (!member.alive) {
				sinceMillis = Math.max(sinceMillis, member.failedAtMillis);
			}
		}
		return sinceMillis;
	}

	private void plan() {
		final int lagSteps = (int) (LIST_LAG_MILLIS / STEP_MILLIS);
		if (!this.instanceList.isKnown(lagSteps)) {
			return;
		}
		final Map<String, ServingInstance> listed = this.instanceList.seenAfter(lagSteps);
		this.delisted.update(this.nowMillis * 1_000_000, listed.values());
		if (this.faults.leaseLapsed()) {
			return;
		}
		final ReplicaPlanner planner = this.planners[this.leaseHolder];
		planner
			.plan(new PlannerView(this.nowMillis * 1_000_000, this.instanceList.asOfMillis(lagSteps) * 1_000_000,
					this.engine, new EvacuatedInstances(this.evacuatedZones).markDraining(List.copyOf(listed.values())),
					this.delisted.instances(), Set.of(), isBeforeTraffic(), this.demandShareRatios))
			.forEach((order) -> send(planner, order));
	}

	private void send(ReplicaPlanner planner, ReplicaOrder order) {
		final FencingTokens tokens = this.fencingTokens[this.leaseHolder];
		final long fencingToken = tokens.next(this.term, order);
		this.transport.send(planner, tokens, order, fencingToken);
	}

	void changePlanner() {
		this.leaseHolder = 1 - this.leaseHolder;
		this.term++;
		reacquireLease();
	}

	void reacquireLease() {
		this.planners[this.leaseHolder].beginTerm(this.nowMillis * 1_000_000, this.term);
	}

	void renewLeaseInNextTerm() {
		this.term++;
		this.planners[this.leaseHolder].beginTerm(this.nowMillis * 1_000_000, this.term);
	}

	/**
	 * Returns the instance that receives the orders to an earlier one.
	 * @param instanceId the instance
	 * @return the one that has restarted at its address, or the instance itself
	 */
	SimulatedInstance currentInstance(String instanceId) {
		String id = instanceId;
		while (this.restartedAs.containsKey(id)) {
			id = this.restartedAs.get(id);
		}
		return this.instances.get(id);
	}

	/**
	 * Returns the member of a group. If instances keep their id when they restart, the
	 * restarted one counts as the member that its group names.
	 * @param instanceId the member as the planner names it
	 * @return the member
	 */
	SimulatedInstance member(String instanceId) {
		return this.restartsKeepId ? currentInstance(instanceId) : this.instances.get(instanceId);
	}

	boolean isBeforeTraffic() {
		return this.nowMillis < TRAFFIC_STARTS_AT_MILLIS;
	}

	PoolSummary summary() {
		final List<ServingInstance> listed = List.copyOf(this.instanceList.seenAfter(0).values());
		return this.planners[this.leaseHolder].summary(listed, this.engine);
	}

	List<GroupLoss> takeGroupLosses() {
		return this.planners[this.leaseHolder].takeGroupLosses();
	}

	/**
	 * Counts the instances in open groups that have all their members.
	 * @return the number of instances
	 */
	int countServingInstances() {
		int count = 0;
		for (final SimulatedInstance instance : this.instances.values()) {
			if (instance.alive && instance.state == MemberState.OPEN && memberLostSince(instance) < 0) {
				count += instance.members.size();
			}
		}
		return count;
	}

	/**
	 * Divides each domain between two availability zones.
	 * @param first the zone of each second instance
	 * @param second the zone of the others
	 */
	void divideDomains(String first, String second) {
		int index = 0;
		for (final SimulatedInstance instance : this.instances.values()) {
			instance.availabilityZone = (index++ % 2 == 0) ? first : second;
		}
	}

	/**
	 * Counts the open groups with a member in a zone.
	 * @param availabilityZone the zone
	 * @return the number of groups
	 */
	int countOpenGroupsWithMemberIn(String availabilityZone) {
		return (int) this.instances.values()
			.stream()
			.filter((instance) -> instance.alive && instance.state == MemberState.OPEN)
			.filter((instance) -> instance.members.stream()
				.anyMatch((id) -> this.instances.get(id).availabilityZone.equals(availabilityZone)))
			.count();
	}

	/**
	 * Counts a model's open groups that have all their members.
	 * @param model the model
	 * @return the number of groups
	 */
	int countServingGroups(String model) {
		return (int) this.instances.values()
			.stream()
			.filter((instance) -> instance.alive && instance.state == MemberState.OPEN && memberLostSince(instance) < 0)
			.filter((instance) -> instance.group.model().equals(model))
			.count();
	}

	/**
	 * Fails two members of groups in one availability zone, which consists of two
	 * domains, and optionally adds an empty instance to each of these domains.
	 * @param replaced whether empty instances are added
	 */
	void failTwoMembers(boolean replaced) {
		final int availabilityZone = this.random.nextInt(3);
		final List<String> domains = List.of("domain-" + 2 * availabilityZone, "domain-" + (2 * availabilityZone + 1));
		for (int i = 0; i < 2; i++) {
			final List<SimulatedInstance> groupedInstances = this.instances.values()
				.stream()
				.filter((instance) -> instance.alive && instance.group != null && domains.contains(instance.domain))
				.toList();
			final SimulatedInstance failed = groupedInstances.get(this.random.nextInt(groupedInstances.size()));
			failed.alive = false;
			failed.failedAtMillis = this.nowMillis;
			if (replaced) {
				addInstance(domains.get(i));
			}
		}
	}

}
