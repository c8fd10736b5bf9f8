package org.pistachioline.core.replica;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Tracks the loads that were ordered of hosts, until the instance lists the weights or
 * the load is overdue.
 */
final class StagedLoads {

	/**
	 * Multiple of a load's expected duration after which the load is assumed never to
	 * have started.
	 */
	private static final double LOAD_TIMEOUT_RATIO = 1.4;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private final Map<String, Long> loadDeadlineNanos = new HashMap<>();

	private final Map<String, String> loadingModels = new HashMap<>();

	private final Set<String> unsupportedIds = new HashSet<>();

	void removeFinished(long nowNanos, Map<String, ServingInstance> byId) {
		this.loadDeadlineNanos.keySet()
			.removeIf((id) -> !byId.containsKey(id) || nowNanos - this.loadDeadlineNanos.get(id) >= 0
					|| byId.get(id).stagedModels().contains(this.loadingModels.get(id)));
		this.loadingModels.keySet().retainAll(this.loadDeadlineNanos.keySet());
		this.unsupportedIds.retainAll(byId.keySet());
	}

	int count() {
		return this.loadDeadlineNanos.size();
	}

	/**
	 * Forgets a load that the instance has rejected.
	 * @param instanceId the instance
	 */
	void remove(String instanceId) {
		this.loadDeadlineNanos.remove(instanceId);
		this.loadingModels.remove(instanceId);
	}

	/**
	 * Records that an instance does not support staging.
	 * @param instanceId the instance
	 */
	void markUnsupported(String instanceId) {
		this.loadDeadlineNanos.remove(instanceId);
		this.unsupportedIds.add(instanceId);
	}

	/**
	 * Returns whether any listed instance does not support staging.
	 * @return whether weights have to be loaded by joining a group instead
	 */
	boolean hasUnsupported() {
		return !this.unsupportedIds.isEmpty();
	}

	ReplicaOrder.Stage record(PlannerView view, ReplicaOrder.Stage order) {
		final long loadMillis = view.engine().model(order.model()).orElseThrow().loadMillis();
		this.loadingModels.put(order.instance().id(), order.model());
		this.loadDeadlineNanos.put(order.instance().id(),
				view.nowNanos() + (long) (LOAD_TIMEOUT_RATIO * loadMillis * NANOS_PER_MILLI));
		return order;
	}

	Optional<String> loadingModel(ServingInstance instance) {
		return Optional.ofNullable(this.loadingModels.get(instance.id()));
	}

	boolean mayLoad(ServingInstance instance) {
		final boolean joining = instance.membership()
			.filter((membership) -> membership.state() == MemberState.JOINING)
			.isPresent();
		return !joining && !this.loadDeadlineNanos.containsKey(instance.id())
				&& !this.unsupportedIds.contains(instance.id());
	}

}
