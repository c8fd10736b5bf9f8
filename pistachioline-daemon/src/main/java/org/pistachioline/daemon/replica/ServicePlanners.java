package org.pistachioline.daemon.replica;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;

import org.pistachioline.core.event.EventId;
import org.pistachioline.core.replica.GroupLoss;
import org.pistachioline.core.replica.OrderOutcome;
import org.pistachioline.core.replica.PlannerView;
import org.pistachioline.core.replica.PoolSummary;
import org.pistachioline.core.replica.ReplicaOrder;
import org.pistachioline.core.replica.ReplicaPlanner;
import org.pistachioline.core.route.ServiceSpec;
import org.pistachioline.daemon.event.Events;

/**
 * The planners of all services, and what they report to operators. Any thread may read
 * the reports; all other calls come from the duty's thread.
 */
final class ServicePlanners {

	/** Short enough to follow a loss of capacity, long enough not to flood the log. */
	private static final long SUMMARY_INTERVAL_NANOS = Duration.ofSeconds(2).toNanos();

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final Supplier<ReplicaPlanner> newPlanner;

	private final Map<String, ReplicaPlanner> planners = new HashMap<>();

	private long summaryLoggedAtNanos;

	private volatile Map<String, List<String>> plannedGroups = Map.of();

	private volatile Map<String, PoolSummary> poolSummaries = Map.of();

	/**
	 * Creates an empty set.
	 * @param newPlanner creates the planner of one service
	 */
	ServicePlanners(Supplier<ReplicaPlanner> newPlanner) {
		this.newPlanner = newPlanner;
	}

	/**
	 * Plans the groups of all services whose instances form groups.
	 * @param nowNanos the monotonic time
	 * @param term the term of the planner lease
	 * @param services all services
	 * @param views supplies the input for a service
	 * @param orders receives the orders
	 */
	void plan(long nowNanos, long term, List<ServiceSpec> services, Function<ServiceSpec, PlannerView> views,
			Consumer<ReplicaOrder> orders) {
		final Map<String, List<String>> groupsByName = new HashMap<>();
		final Map<String, PoolSummary> summaries = new HashMap<>();
		final boolean logSummary = nowNanos - this.summaryLoggedAtNanos >= SUMMARY_INTERVAL_NANOS;
		if (logSummary) {
			this.summaryLoggedAtNanos = nowNanos;
		}
		for (final ServiceSpec service : services) {
			if (service.grouped()) {
				final ReplicaPlanner planner = this.planners.computeIfAbsent(service.name(),
						(name) -> this.newPlanner.get());
				planner.beginTerm(nowNanos, term);
				final PlannerView view = views.apply(service);
				planner.plan(view).forEach(orders);
				groupsByName.putAll(planner.groups());
				logChanges(planner);
				if (logSummary) {
					final PoolSummary summary = planner.summary(view.instances(), view.engine());
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

	private static void logChanges(ReplicaPlanner planner) {
		planner.takeGroupLosses().forEach(ServicePlanners::logLoss);
		planner.takeGroupEnds()
			.forEach((end) -> Events.log(EventId.GROUP_ENDED, "group", end.group().name(), "evidence", end.evidence()));
		planner.takeRevivedGroups().forEach((group) -> Events.log(EventId.GROUP_REVIVED, "group", group.name()));
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

	/**
	 * Processes the result of an order.
	 * @param order the order
	 * @param outcome the result
	 */
	void onOutcome(ReplicaOrder order, OrderOutcome outcome) {
		final ReplicaPlanner planner = this.planners.get(order.instance().service());
		if (planner != null) {
			planner.onOutcome(order, outcome);
		}
	}

	/** Forgets the reports, since this daemon is not the planner. */
	void clearReports() {
		this.plannedGroups = Map.of();
		this.poolSummaries = Map.of();
	}

	/**
	 * Returns the groups as of the last pass.
	 * @return the ids of the members, by the name of the group
	 */
	Map<String, List<String>> plannedGroups() {
		return this.plannedGroups;
	}

	/**
	 * Returns how the instances are used.
	 * @return the summary of each service, by its name
	 */
	Map<String, PoolSummary> poolSummaries() {
		return this.poolSummaries;
	}

}
