package org.pistachioline.daemon.replica;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import org.pistachioline.core.event.EventId;
import org.pistachioline.core.replica.LoadReport;
import org.pistachioline.core.replica.ServingGroups;
import org.pistachioline.core.replica.ServingInstance;
import org.pistachioline.core.route.RouteTable;
import org.pistachioline.core.traffic.TargetView;
import org.pistachioline.daemon.event.Events;

/**
 * Publishes the targets with the loads that they report, and logs which ones begin and
 * cease to accept requests. Any thread may ask for their number; all other calls come
 * from the duty's thread.
 */
final class TargetPublisher {

	/**
	 * Interval at which load reports are passed on; they are about 100 ms old on arrival.
	 */
	private static final long TARGETS_INTERVAL_NANOS = Duration.ofMillis(200).toNanos();

	private final Consumer<List<TargetView>> listener;

	private final Map<String, LoadReport> loadReports = new HashMap<>();

	private boolean loadReportsChanged;

	private long publishedAtNanos;

	private Set<String> servingTargets = Set.of();

	private volatile int servingTargetCount;

	/**
	 * Creates a publisher that knows no loads.
	 * @param listener receives the targets after each change
	 */
	TargetPublisher(Consumer<List<TargetView>> listener) {
		this.listener = listener;
	}

	void onLoad(String instanceId, LoadReport load) {
		this.loadReports.put(instanceId, load);
		this.loadReportsChanged = true;
	}

	/**
	 * Forgets the loads of all other instances.
	 * @param instanceIds the listed instances
	 */
	void retainLoads(Set<String> instanceIds) {
		this.loadReports.keySet().retainAll(instanceIds);
	}

	/**
	 * Returns whether loads are to be passed on.
	 * @param nowNanos the monotonic time
	 * @return whether the targets are to be published, though they are the same
	 */
	boolean isDue(long nowNanos) {
		return this.loadReportsChanged && nowNanos - this.publishedAtNanos >= TARGETS_INTERVAL_NANOS;
	}

	/**
	 * Publishes the targets.
	 * @param nowNanos the monotonic time
	 * @param routeTable the configuration in force
	 * @param instances the instances
	 */
	void publish(long nowNanos, RouteTable routeTable, List<ServingInstance> instances) {
		this.publishedAtNanos = nowNanos;
		this.loadReportsChanged = false;
		final List<TargetView> views = ServingGroups.targets(routeTable, instances, this.loadReports);
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
		this.listener.accept(views);
	}

	/**
	 * Returns the number of targets that accept requests.
	 * @return the number of targets
	 */
	int servingTargetCount() {
		return this.servingTargetCount;
	}

}
