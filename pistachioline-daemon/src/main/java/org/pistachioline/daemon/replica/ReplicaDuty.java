package org.pistachioline.daemon.replica;

import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import org.apache.pekko.actor.typed.ActorSystem;

import org.pistachioline.core.demand.ModelDemandSource;
import org.pistachioline.core.event.EventId;
import org.pistachioline.core.replica.DelistedInstances;
import org.pistachioline.core.replica.EvacuatedInstances;
import org.pistachioline.core.replica.FencingTokens;
import org.pistachioline.core.replica.IdleReason;
import org.pistachioline.core.replica.InstanceDemand;
import org.pistachioline.core.replica.LeavingInstances;
import org.pistachioline.core.replica.LoadReport;
import org.pistachioline.core.replica.OrderFencing;
import org.pistachioline.core.replica.OrderOutcome;
import org.pistachioline.core.replica.PlannerTimes;
import org.pistachioline.core.replica.PlannerView;
import org.pistachioline.core.replica.PoolSummary;
import org.pistachioline.core.replica.ReplicaOrder;
import org.pistachioline.core.replica.ReplicaPlanner;
import org.pistachioline.core.replica.ServingInstance;
import org.pistachioline.core.route.EngineSpec;
import org.pistachioline.core.route.RouteTable;
import org.pistachioline.core.route.ServiceSpec;
import org.pistachioline.core.traffic.TargetView;
import org.pistachioline.daemon.Lifecycle;
import org.pistachioline.daemon.duty.DroppedMessages;
import org.pistachioline.daemon.duty.Duty;
import org.pistachioline.daemon.duty.DutyHandler;
import org.pistachioline.daemon.duty.Ring;
import org.pistachioline.daemon.event.Events;
import org.pistachioline.daemon.port.OrderSender;
import org.pistachioline.daemon.port.PlannerLease;

/**
 * Derives the targets from the instance list, and sends orders to instances while this
 * daemon holds the planner lease.
 */
public final class ReplicaDuty implements Lifecycle, DutyHandler<ReplicaMessage> {

	private static final String RING_NAME = "replicas";

	/** A dropped load report is superseded by the next one. */
	private static final int RING_CAPACITY = 4_096;

	/**
	 * Bounds the delay before the loss of a member is handled to a small part of the time
	 * that recovery takes.
	 */
	private static final Duration TICK_INTERVAL = Duration.ofMillis(100);

	private final PlannerLease lease;

	private final OrderSender orderSender;

	private final TargetPublisher publisher;

	private final BooleanSupplier beforeTraffic;

	private final Duty<ReplicaMessage> duty;

	private final ServicePlanners planners;

	private final DroppedMessages dropped = new DroppedMessages(RING_NAME, System::nanoTime);

	private final UnresponsiveInstances unresponsive;

	private final DelistedInstances delisted = new DelistedInstances();

	private final LeavingInstances leavingInstances = new LeavingInstances();

	private final FencingTokens fencingTokens = new FencingTokens();

	private EvacuatedInstances evacuated = new EvacuatedInstances(Set.of());

	private List<ServingInstance> listed = List.of();

	private List<ServingInstance> instances = List.of();

	private volatile Set<String> evacuatedReceiverIds = Set.of();

	private RouteTable routeTable = RouteTable.UNKNOWN;

	private long heldTerm;

	private long fencedTerm;

	private volatile ModelDemandSource modelDemand = (service) -> Map.of();

	private volatile Supplier<OptionalLong> listAsOf = OptionalLong::empty;

	/** As of the last tick, before which that list has been received. */
	private OptionalLong receivedListAsOf = OptionalLong.empty();

	/**
	 * Creates the duty.
	 * @param system the process's actor system
	 * @param lease the planner lease
	 * @param orderSender sends orders and probes to instances
	 * @param times the planners' timeouts
	 * @param targetsListener receives the targets after each change
	 * @param beforeTraffic returns whether no request has arrived since the system
	 * started
	 * @param fleetDecisions whether groups are planned by demand and for all fabric
	 * domains together
	 * @param orderFencing whether instances enforce the fencing tokens of orders
	 */
	public ReplicaDuty(ActorSystem<?> system, PlannerLease lease, OrderSender orderSender, PlannerTimes times,
			Consumer<List<TargetView>> targetsListener, BooleanSupplier beforeTraffic, boolean fleetDecisions,
			OrderFencing orderFencing) {
		this.lease = lease;
		this.orderSender = orderSender;
		this.publisher = new TargetPublisher(targetsListener);
		this.beforeTraffic = beforeTraffic;
		this.planners = new ServicePlanners(() -> new ReplicaPlanner(times, fleetDecisions, orderFencing));
		this.duty = new Duty<>(system, RING_NAME, RING_CAPACITY, TICK_INTERVAL, this);
		this.unresponsive = new UnresponsiveInstances(orderSender,
				(round) -> offerOrLog(new ReplicaMessage.GroupProbed(round), "probe results"));
	}

	/**
	 * Sets the source of the demand for the models of each service. Without it, the
	 * declared shares apply.
	 * @param source the source; it must not block
	 */
	public void setModelDemandSource(ModelDemandSource source) {
		this.modelDemand = source;
	}

	/**
	 * Sets the source of the time as of which the instance list is known. Groups are
	 * planned only with a list of known age.
	 * @param source returns the monotonic time in nanoseconds, empty if there is no list;
	 * the list must have been passed to this duty before
	 */
	public void setListAsOfSource(Supplier<OptionalLong> source) {
		this.listAsOf = source;
	}

	@Override
	public void start() {
		this.duty.start();
	}

	@Override
	public void stop() {
		this.duty.stop();
	}

	@Override
	public List<Ring<?>> rings() {
		return List.of(this.duty.ring());
	}

	/**
	 * Replaces the instance list.
	 * @param listed all instances
	 */
	public void updateInstances(List<ServingInstance> listed) {
		this.duty.put(new ReplicaMessage.InstancesUpdated(listed));
	}

	/**
	 * Puts a configuration into force.
	 * @param inForce the configuration
	 */
	public void configure(RouteTable inForce) {
		this.duty.put(new ReplicaMessage.ConfigurationUpdated(inForce));
	}

	/**
	 * Records the load that a target reported; dropped if the ring is full.
	 * @param targetId the target
	 * @param load the load
	 */
	public void onLoadReport(String targetId, LoadReport load) {
		this.duty.offer(new ReplicaMessage.LoadReported(TargetView.instanceId(targetId), load));
	}

	/**
	 * Marks an instance as leaving, so that its group is formed again without it.
	 * @param instanceId the instance
	 */
	public void onInstanceLeaving(String instanceId) {
		this.duty.put(new ReplicaMessage.InstanceLeaving(instanceId));
	}

	/**
	 * Replaces the availability zones that operators evacuate.
	 * @param availabilityZones the zones
	 */
	public void onEvacuation(Set<String> availabilityZones) {
		this.duty.put(new ReplicaMessage.ZonesEvacuated(availabilityZones));
	}

	/**
	 * Returns whether a target is evacuated; any thread may ask.
	 * @param targetId the target
	 * @return whether it, or a member of its group, is in an evacuated zone
	 */
	public boolean isEvacuated(String targetId) {
		return this.evacuatedReceiverIds.contains(TargetView.instanceId(targetId));
	}

	/**
	 * Reports a target that makes no progress. If the ring is full the report is dropped,
	 * as the next stalled request repeats it.
	 * @param targetId the target
	 */
	public void onTargetStalled(String targetId) {
		this.duty.offer(new ReplicaMessage.TargetStalled(targetId));
	}

	/**
	 * Returns the groups that this daemon plans, for operators.
	 * @return the ids of the members, by the name of the group; empty while this daemon
	 * is not the planner
	 */
	public Map<String, List<String>> plannedGroups() {
		return this.planners.plannedGroups();
	}

	/**
	 * Returns how the instances are used, for operators.
	 * @return the summary of each service, by its name; empty while this daemon is not
	 * the planner
	 */
	public Map<String, PoolSummary> poolSummaries() {
		return this.planners.poolSummaries();
	}

	/**
	 * Returns the number of idle instances of all services, for metrics.
	 * @param reason the reason that keeps them idle
	 * @return the number of instances; 0 while this daemon is not the planner
	 */
	public int idleInstanceCount(IdleReason reason) {
		return poolSummaries().values().stream().mapToInt((summary) -> summary.idle().getOrDefault(reason, 0)).sum();
	}

	/**
	 * Returns the number of targets that accept requests.
	 * @return the number of targets
	 */
	public int servingTargetCount() {
		return this.publisher.servingTargetCount();
	}

	@Override
	public void onMessage(ReplicaMessage message) {
		if (message instanceof ReplicaMessage.InstancesUpdated updated) {
			this.listed = updated.instances();
			markDraining();
			this.publisher.retainLoads(this.instances.stream().map(ServingInstance::id).collect(Collectors.toSet()));
			this.delisted.update(System.nanoTime(), this.instances);
			publishTargets(System.nanoTime());
			this.evacuatedReceiverIds = this.evacuated.receiverIds(this.listed);
		}
		else if (message instanceof ReplicaMessage.ZonesEvacuated changed) {
			this.evacuated = new EvacuatedInstances(changed.availabilityZones());
			markDraining();
			publishTargets(System.nanoTime());
			// A withheld attempt must find its target out of use.
			this.evacuatedReceiverIds = this.evacuated.receiverIds(this.listed);
		}
		else if (message instanceof ReplicaMessage.ConfigurationUpdated configured) {
			this.routeTable = configured.table();
			publishTargets(System.nanoTime());
		}
		else if (message instanceof ReplicaMessage.LoadReported loaded) {
			this.publisher.onLoad(loaded.instanceId(), loaded.load());
		}
		else if (message instanceof ReplicaMessage.InstanceLeaving announced) {
			handleLeaving(announced.instanceId());
		}
		else if (message instanceof ReplicaMessage.TargetStalled stalled) {
			if (this.heldTerm != 0) {
				this.unresponsive.probeGroup(System.nanoTime(), TargetView.instanceId(stalled.targetId()),
						this.instances);
			}
		}
		else if (message instanceof ReplicaMessage.GroupProbed probed) {
			this.unresponsive.onProbeResults(System.nanoTime(), probed.round());
		}
		else if (message instanceof ReplicaMessage.OrderCompleted ordered) {
			onOrderCompleted(ordered);
		}
	}

	private void handleLeaving(String instanceId) {
		if (this.leavingInstances.add(instanceId)) {
			markDraining();
			publishTargets(System.nanoTime());
		}
	}

	private void markDraining() {
		this.instances = this.evacuated.markDraining(this.leavingInstances.markDraining(this.listed));
	}

	private void onOrderCompleted(ReplicaMessage.OrderCompleted completed) {
		final ReplicaOrder order = completed.order();
		final OrderOutcome outcome = this.fencingTokens.interpret(order.instance().address(), completed.fencingToken(),
				completed.outcome());
		if (outcome == OrderOutcome.FENCED && !(order instanceof ReplicaOrder.Join)) {
			// Another daemon has become the planner, so the remaining orders of this term
			// are obsolete.
			this.fencedTerm = Math.max(this.fencedTerm, FencingTokens.termOf(completed.fencingToken()));
		}
		this.planners.onOutcome(order, outcome);
	}

	@Override
	public void onTick() {
		final long nowNanos = System.nanoTime();
		if (this.publisher.isDue(nowNanos)) {
			publishTargets(nowNanos);
		}
		final OptionalLong received = this.receivedListAsOf;
		this.receivedListAsOf = this.listAsOf.get();
		final Optional<Long> term = this.lease.term(nowNanos);
		if (term.isEmpty()) {
			this.heldTerm = 0;
			this.planners.clearReports();
			return;
		}
		this.heldTerm = term.get();
		received.ifPresent((listAsOfNanos) -> plan(nowNanos, listAsOfNanos, term.get()));
	}

	private void plan(long nowNanos, long listAsOfNanos, long term) {
		if (term <= this.fencedTerm) {
			return;
		}
		this.unresponsive.probeSilent(nowNanos, this.instances);
		final Set<String> unresponsiveIds = this.unresponsive.ids(nowNanos);
		this.planners.plan(nowNanos, term, this.routeTable.services(),
				(service) -> view(service, nowNanos, listAsOfNanos, unresponsiveIds),
				(order) -> sendOrder(order, term));
	}

	private PlannerView view(ServiceSpec service, long nowNanos, long listAsOfNanos, Set<String> unresponsiveIds) {
		final EngineSpec engine = service.engine().orElseThrow();
		return new PlannerView(nowNanos, listAsOfNanos, engine, usableInstancesOf(service, unresponsiveIds),
				this.delisted.instances(), unresponsiveIds, this.beforeTraffic.getAsBoolean(),
				InstanceDemand.shareRatios(engine, this.modelDemand.shareRatios(service.name())));
	}

	private List<ServingInstance> usableInstancesOf(ServiceSpec service, Set<String> unresponsiveIds) {
		return this.instances.stream()
			.filter((instance) -> instance.service().equals(service.name()) && !unresponsiveIds.contains(instance.id()))
			.toList();
	}

	private void sendOrder(ReplicaOrder order, long term) {
		final long fencingToken = this.fencingTokens.next(term, order);
		this.orderSender.send(order, fencingToken).thenAccept((outcome) -> {
			Events.log(EventId.ORDER_COMPLETED, "order", order.verb(), "instance", order.instance().id(), "subject",
					order.subject(), "term", term, "token", fencingToken, "outcome", outcome, "listed_in",
					reportedMembership(order.instance()));
			offerOrLog(new ReplicaMessage.OrderCompleted(order, fencingToken, outcome), "order outcome");
		});
	}

	// Nothing repeats these messages, unlike load reports and stalls.
	private void offerOrLog(ReplicaMessage message, String description) {
		if (!this.duty.offer(message)) {
			this.dropped.onDropped(description);
		}
	}

	private static String reportedMembership(ServingInstance instance) {
		return instance.membership()
			.map((membership) -> membership.group().name() + ' ' + membership.state().name().toLowerCase(Locale.ROOT))
			.orElse("");
	}

	private void publishTargets(long nowNanos) {
		this.publisher.publish(nowNanos, this.routeTable, this.instances);
	}

}
