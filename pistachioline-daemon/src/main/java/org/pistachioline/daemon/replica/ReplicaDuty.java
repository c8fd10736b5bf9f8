package org.pistachioline.daemon.replica;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import org.apache.pekko.actor.typed.ActorSystem;

import org.pistachioline.core.event.EventId;
import org.pistachioline.core.replica.DelistedInstances;
import org.pistachioline.core.replica.LeavingInstances;
import org.pistachioline.core.replica.LoadReport;
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
import org.pistachioline.daemon.duty.Duty;
import org.pistachioline.daemon.duty.DutyHandler;
import org.pistachioline.daemon.duty.Ring;
import org.pistachioline.daemon.event.Events;
import org.pistachioline.daemon.port.OrderSender;
import org.pistachioline.daemon.port.PlannerLease;

/**
 * Derives the targets from the list of instances, and gives orders while this daemon
 * holds the planner's lease.
 */
public final class ReplicaDuty implements Lifecycle, DutyHandler<ReplicaMessage> {

	/** A list or a load report for which there is no room is followed by a newer one. */
	private static final int RING_CAPACITY = 4_096;

	/**
	 * How soon after a change a lost member is acted on: a small part of its recovery.
	 */
	private static final Duration TICK_INTERVAL = Duration.ofMillis(100);

	/** How often loads are handed on; they are a tenth of a second old when they come. */
	private static final long TARGETS_INTERVAL_NANOS = Duration.ofMillis(200).toNanos();

	/** Often enough to follow a loss of capacity, seldom enough for a busy log. */
	private static final long SUMMARY_INTERVAL_NANOS = Duration.ofSeconds(2).toNanos();

	private final PlannerLease lease;

	private final OrderSender orderSender;

	private final PlannerTimes times;

	private final Consumer<List<TargetView>> targetsListener;

	private final BooleanSupplier beforeTraffic;

	private final Duty<ReplicaMessage> duty;

	private final Map<String, ReplicaPlanner> planners = new HashMap<>();

	private final Map<String, LoadReport> loadReports = new HashMap<>();

	private final UnresponsiveInstances unresponsive;

	private final DelistedInstances delisted = new DelistedInstances();

	private final LeavingInstances onInstanceLeaving = new LeavingInstances();

	private List<ServingInstance> instances = List.of();

	private RouteTable routeTable = RouteTable.UNKNOWN;

	private boolean loadReportsChanged;

	private long targetsPublishedAtNanos;

	private Set<String> servingTargets = Set.of();

	private long summaryLoggedAtNanos;

	private long heldTerm;

	private long fencedTerm;

	private volatile Map<String, List<String>> plannedGroups = Map.of();

	private volatile int servingTargetCount;

	/**
	 * Creates the duty.
	 * @param system the process's actor system
	 * @param lease the planner's lease
	 * @param orders gives orders
	 * @param times the times that planners keep to
	 * @param targets takes the targets
	 * @param beforeTraffic whether no request has come yet to a system that starts
	 */
	public ReplicaDuty(ActorSystem<?> system, PlannerLease lease, OrderSender orders, PlannerTimes times,
			Consumer<List<TargetView>> targets, BooleanSupplier beforeTraffic) {
		this.lease = lease;
		this.orderSender = orders;
		this.times = times;
		this.targetsListener = targets;
		this.beforeTraffic = beforeTraffic;
		this.duty = new Duty<>(system, "replicas", RING_CAPACITY, TICK_INTERVAL, this);
		this.unresponsive = new UnresponsiveInstances(orders,
				(answered) -> this.duty.offer(new ReplicaMessage.GroupProbed(answered)));
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
	 * Takes over the list of instances.
	 * @param listed all instances
	 */
	public void updateInstances(List<ServingInstance> listed) {
		this.duty.put(new ReplicaMessage.InstancesUpdated(listed));
	}

	/**
	 * Takes over a configuration.
	 * @param inForce the configuration
	 */
	public void configure(RouteTable inForce) {
		this.duty.put(new ReplicaMessage.ConfigurationUpdated(inForce));
	}

	/**
	 * Takes what a target told of its load.
	 * @param targetId the target
	 * @param load the load
	 */
	public void onLoadReport(String targetId, LoadReport load) {
		this.duty.offer(new ReplicaMessage.LoadReported(TargetView.instanceId(targetId), load));
	}

	/**
	 * Takes word of an instance that leaves: its group is formed anew without it.
	 * @param instanceId the instance
	 */
	public void onInstanceLeaving(String instanceId) {
		this.duty.put(new ReplicaMessage.InstanceLeaving(instanceId));
	}

	/**
	 * Takes word of a target that stands still; where the ring is full the next request
	 * that stands still tells it.
	 * @param targetId the target
	 */
	public void onTargetStalled(String targetId) {
		this.duty.offer(new ReplicaMessage.TargetStalled(targetId));
	}

	/**
	 * Returns the groups that this daemon plans, for operators.
	 * @return for each group the ids of its members; empty while it does not plan
	 */
	public Map<String, List<String>> plannedGroups() {
		return this.plannedGroups;
	}

	/**
	 * Returns how many targets take requests.
	 * @return the number of targets
	 */
	public int servingTargetCount() {
		return this.servingTargetCount;
	}

	@Override
	public void onMessage(ReplicaMessage message) {
		if (message instanceof ReplicaMessage.InstancesUpdated listed) {
			this.instances = this.onInstanceLeaving.markDraining(listed.instances());
			final Set<String> ids = this.instances.stream().map(ServingInstance::id).collect(Collectors.toSet());
			this.loadReports.keySet().retainAll(ids);
			this.delisted.update(System.nanoTime(), this.instances);
			publishTargets(System.nanoTime());
		}
		else if (message instanceof ReplicaMessage.ConfigurationUpdated configured) {
			this.routeTable = configured.table();
			publishTargets(System.nanoTime());
		}
		else if (message instanceof ReplicaMessage.LoadReported loaded) {
			this.loadReports.put(loaded.instanceId(), loaded.load());
			this.loadReportsChanged = true;
		}
		else if (message instanceof ReplicaMessage.InstanceLeaving gone) {
			handleLeaving(gone.instanceId());
		}
		else if (message instanceof ReplicaMessage.TargetStalled stalled) {
			if (this.heldTerm != 0) {
				this.unresponsive.probeGroup(System.nanoTime(), TargetView.instanceId(stalled.targetId()),
						this.instances);
			}
		}
		else if (message instanceof ReplicaMessage.GroupProbed probed) {
			this.unresponsive.onProbeResults(System.nanoTime(), probed.answeredById());
		}
		else if (message instanceof ReplicaMessage.OrderCompleted ordered) {
			onOrderCompleted(ordered.order(), ordered.outcome());
		}
	}

	private void handleLeaving(String instanceId) {
		if (this.onInstanceLeaving.add(instanceId)) {
			this.instances = this.onInstanceLeaving.markDraining(this.instances);
			publishTargets(System.nanoTime());
		}
	}

	private void onOrderCompleted(ReplicaOrder order, OrderOutcome outcome) {
		if (outcome == OrderOutcome.FENCED && !(order instanceof ReplicaOrder.Join)) {
			// Another planner has begun: whatever this one still wants is out of date.
			this.fencedTerm = this.heldTerm;
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
		final Optional<Long> term = this.lease.term(nowNanos);
		if (term.isEmpty()) {
			this.heldTerm = 0;
			this.plannedGroups = Map.of();
			return;
		}
		plan(nowNanos, term.get());
	}

	private void plan(long nowNanos, long term) {
		final boolean heldBefore = this.heldTerm != 0;
		final boolean begins = this.heldTerm != term;
		this.heldTerm = term;
		if (term <= this.fencedTerm) {
			return;
		}
		final Map<String, List<String>> all = new HashMap<>();
		final Set<String> gone = this.unresponsive.ids(nowNanos);
		final boolean sumUp = nowNanos - this.summaryLoggedAtNanos >= SUMMARY_INTERVAL_NANOS;
		if (sumUp) {
			this.summaryLoggedAtNanos = nowNanos;
		}
		for (final ServiceSpec service : this.routeTable.services()) {
			if (service.grouped()) {
				final ReplicaPlanner planner = this.planners.computeIfAbsent(service.name(),
						(name) -> new ReplicaPlanner(this.times));
				if (begins) {
					planner.beginTerm(nowNanos, term, heldBefore);
				}
				planner
					.plan(new PlannerView(nowNanos, service.engine().orElseThrow(), usableInstancesOf(service, gone),
							this.delisted.instances(), gone, this.beforeTraffic.getAsBoolean()))
					.forEach((order) -> sendOrder(order, term));
				all.putAll(planner.groups());
				if (sumUp) {
					logSummary(service, planner.summary(usableInstancesOf(service, gone)));
				}
			}
		}
		this.plannedGroups = all;
	}

	private static void logSummary(ServiceSpec service, PoolSummary sums) {
		Events.log(EventId.POOL_SUMMARY, "service", service.name(), "listed", sums.listed(), "draining",
				sums.draining(), "serving", sums.serving(), "forming", sums.forming(), "waiting", sums.waiting(),
				"free_warm", sums.freeWarm(), "free_empty", sums.freeEmpty(), "loading", sums.loading());
	}

	private List<ServingInstance> usableInstancesOf(ServiceSpec service, Set<String> gone) {
		return this.instances.stream()
			.filter((instance) -> instance.service().equals(service.name()) && !gone.contains(instance.id()))
			.toList();
	}

	private void sendOrder(ReplicaOrder order, long term) {
		this.orderSender.send(order, term).thenAccept((outcome) -> {
			Events.log(EventId.ORDER_COMPLETED, "order", order.verb(), "instance", order.instance().id(), "subject",
					order.subject(), "term", term, "outcome", outcome, "listed_in",
					reportedMembership(order.instance()));
			this.duty.offer(new ReplicaMessage.OrderCompleted(order, outcome));
		});
	}

	private static String reportedMembership(ServingInstance instance) {
		return instance.membership()
			.map((own) -> own.group().name() + ' ' + own.state().name().toLowerCase(Locale.ROOT))
			.orElse("");
	}

	private void publishTargets(long nowNanos) {
		this.targetsPublishedAtNanos = nowNanos;
		this.loadReportsChanged = false;
		final List<TargetView> views = ServingGroups.targets(this.routeTable, this.instances, this.loadReports);
		final Set<String> now = views.stream()
			.filter(TargetView::serving)
			.map((view) -> view.name() + ' ' + view.targetId())
			.collect(Collectors.toSet());
		now.stream()
			.filter((name) -> !this.servingTargets.contains(name))
			.forEach((name) -> Events.log(EventId.TARGET_SERVING, "target", name));
		this.servingTargets.stream()
			.filter((name) -> !now.contains(name))
			.forEach((name) -> Events.log(EventId.TARGET_STOPPED, "target", name));
		this.servingTargets = now;
		this.servingTargetCount = now.size();
		this.targetsListener.accept(views);
	}

}
