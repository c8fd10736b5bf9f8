package org.pistachioline.daemon.replica;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
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
import org.pistachioline.core.replica.GroupLoss;
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
import org.pistachioline.core.replica.ServingGroups;
import org.pistachioline.core.replica.ServingInstance;
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

	/**
	 * Interval at which load reports are passed on; they are about 100 ms old on arrival.
	 */
	private static final long TARGETS_INTERVAL_NANOS = Duration.ofMillis(200).toNanos();

	/** Short enough to follow a loss of capacity, long enough not to flood the log. */
	private static final long SUMMARY_INTERVAL_NANOS = Duration.ofSeconds(2).toNanos();

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final PlannerLease lease;

	private final OrderSender orderSender;

	private final PlannerTimes times;

	private final Consumer<List<TargetView>> targetsListener;

	private final BooleanSupplier beforeTraffic;

	private final boolean fleetDecisions;

	private final OrderFencing orderFencing;

	private final Duty<ReplicaMessage> duty;

	private final Map<String, ReplicaPlanner> planners = new HashMap<>();

	private final Map<String, LoadReport> loadReports = new HashMap<>();

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

	private boolean loadReportsChanged;

	private long targetsPublishedAtNanos;

	private Set<String> servingTargets = Set.of();

	private long summaryLoggedAtNanos;

	private long heldTerm;

	private long fencedTerm;

	private volatile Map<String, List<String>> plannedGroups = Map.of();

	private volatile Map<String, PoolSummary> poolSummaries = Map.of();

	private volatile int servingTargetCount;

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
		this.times = times;
		this.targetsListener = targetsListener;
		this.beforeTraffic = beforeTraffic;
		this.fleetDecisions = fleetDecisions;
		this.orderFencing = orderFencing;
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
		return this.plannedGroups;
	}

	/**
	 * Returns how the instances are used, for operators.
	 * @return the summary of each service, by its name; empty while this daemon is not
	 * the planner
	 */
	public Map<String, PoolSummary> poolSummaries() {
		return this.poolSummaries;
	}

	/**
	 * Returns the number of idle instances of all services, for metrics.
	 * @param reason the reason that keeps them idle
	 * @return the number of instances; 0 while this daemon is not the planner
	 */
	public int idleInstanceCount(IdleReason reason) {
		return this.poolSummaries.values().stream().mapToInt((summary) -> summary.idle().getOrDefault(reason, 0)).sum();
	}

	/**
	 * Returns the number of targets that accept requests.
	 * @return the number of targets
	 */
	public int servingTargetCount() {
		return this.servingTargetCount;
	}

	@Override
	public void onMessage(ReplicaMessage message) {
		if (message instanceof ReplicaMessage.InstancesUpdated updated) {
			this.listed = updated.instances();
			markDraining();
			final Set<String> ids = this.instances.stream().map(ServingInstance::id).collect(Collectors.toSet());
			this.loadReports.keySet().retainAll(ids);
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
			this.loadReports.put(loaded.instanceId(), loaded.load());
			this.loadReportsChanged = true;
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
		final ReplicaPlanner planner = this.planners.get(order.instance().service());
		if (planner != null) {
			planner.onOutcome(order, outcome);
		}
	}

	@Override
	public void onTick() {
		final long nowNanos = System.nanoTime();
		if (this.loadReportsChanged && nowNanos - this.targetsPublishedAtNanos >= TARGETS_INTERVAL_NANOS) {
			publishTargets(nowNanos);
		}
		final OptionalLong received = this.receivedListAsOf;
		this.receivedListAsOf = this.listAsOf.get();
		final Optional<Long> term = this.lease.term(nowNanos);
		if (term.isEmpty()) {
			this.heldTerm = 0;
			this.plannedGroups = Map.of();
			this.poolSummaries = Map.of();
			return;
		}
		this.heldTerm = term.get();
		received.ifPresent((listAsOfNanos) -> plan(nowNanos, listAsOfNanos, term.get()));
	}

	private void plan(long nowNanos, long listAsOfNanos, long term) {
		if (term <= this.fencedTerm) {
			return;
		}
		final Map<String, List<String>> groupsByName = new HashMap<>();
		final Map<String, PoolSummary> summaries = new HashMap<>();
		this.unresponsive.probeSilent(nowNanos, this.instances);
		final Set<String> unresponsiveIds = this.unresponsive.ids(nowNanos);
		final boolean logSummary = nowNanos - this.summaryLoggedAtNanos >= SUMMARY_INTERVAL_NANOS;
		if (logSummary) {
			this.summaryLoggedAtNanos = nowNanos;
		}
		for (final ServiceSpec service : this.routeTable.services()) {
			if (service.grouped()) {
				final ReplicaPlanner planner = this.planners.computeIfAbsent(service.name(),
						(name) -> new ReplicaPlanner(this.times, this.fleetDecisions, this.orderFencing));
				planner.beginTerm(nowNanos, term);
				planner
					.plan(new PlannerView(nowNanos, listAsOfNanos, service.engine().orElseThrow(),
							usableInstancesOf(service, unresponsiveIds), this.delisted.instances(), unresponsiveIds,
							this.beforeTraffic.getAsBoolean(),
							InstanceDemand.shareRatios(service.engine().orElseThrow(),
									this.modelDemand.shareRatios(service.name()))))
					.forEach((order) -> sendOrder(order, term));
				groupsByName.putAll(planner.groups());
				planner.takeGroupLosses().forEach(ReplicaDuty::logLoss);
				planner.takeGroupEnds()
					.forEach((end) -> Events.log(EventId.GROUP_ENDED, "group", end.group().name(), "evidence",
							end.evidence()));
				planner.takeRevivedGroups()
					.forEach((group) -> Events.log(EventId.GROUP_REVIVED, "group", group.name()));
				if (logSummary) {
					final PoolSummary summary = planner.summary(usableInstancesOf(service, unresponsiveIds),
							service.engine().orElseThrow());
					summaries.put(service.name(), summary);
					logSummary(service, summary);
				}
			}
		}
		this.plannedGroups = groupsByName;
		if (logSummary) {
			this.poolSummaries = Map.copyOf(summaries);
		}
	}

	private static void logLoss(GroupLoss loss) {
		Events.log(EventId.GROUP_RELEASED, "group", loss.group().name(), "cause", loss.cause(), "standstill_millis",
				loss.standstillNanos() / NANOS_PER_MILLI);
	}

	private static void logSummary(ServiceSpec service, PoolSummary summary) {
		Events.log(EventId.POOL_SUMMARY, "service", service.name(), "listed", summary.listed(), "draining",
				summary.draining(), "serving", summary.serving(), "forming", summary.forming(), "waiting",
				summary.waiting(), "free_warm", summary.freeWarm(), "free_empty", summary.freeEmpty(), "loading",
				summary.loading(), "idle", new TreeMap<>(summary.idle()), "models", new TreeMap<>(summary.models()),
				"decisions", summary.decisions());
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
		this.targetsPublishedAtNanos = nowNanos;
		this.loadReportsChanged = false;
		final List<TargetView> views = ServingGroups.targets(this.routeTable, this.instances, this.loadReports);
		final Set<String> servingNow = views.stream()
			.filter(TargetView::serving)
			.map((view) -> view.name() + ' ' + view.targetId())
			.collect(Collectors.toSet());
		servingNow.stream()
			.filter((name) -> !this.servingTargets.contains(name))
			.forEach((name) -> Events.log(EventId.TARGET_SERVING, "target", name));
		this.servingTargets.stream()
			.filter((name) -> !servingNow.contains(name))
			.forEach((name) -> Events.log(EventId.TARGET_STOPPED, "target", name));
		this.servingTargets = servingNow;
		this.servingTargetCount = servingNow.size();
		this.targetsListener.accept(views);
	}

}
