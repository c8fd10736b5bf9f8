package org.pistachioline.daemon.replica;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;

import org.pistachioline.core.event.EventId;
import org.pistachioline.core.replica.GroupId;
import org.pistachioline.core.replica.Membership;
import org.pistachioline.core.replica.ServingInstance;
import org.pistachioline.daemon.event.Events;
import org.pistachioline.daemon.port.OrderSender;

/**
 * Detects the failed member of a stalled group before it is delisted.
 * <p>
 * An instance is delisted several heartbeats after its last one; until then the head of
 * its group accepts requests that are never answered. Stalled requests show within a
 * fraction of a second that a group has failed, but not which member. All members are
 * therefore probed, and those that do not answer while others of the group do are treated
 * as failed. If none answers, this daemon's own network link may have failed, and no
 * conclusion is drawn.
 */
final class UnresponsiveInstances {

	/** By this time the instance has been delisted, or has shown that it is alive. */
	private static final long UNRESPONSIVE_NANOS = Duration.ofSeconds(6).toNanos();

	/** Minimum interval between two probes of the same group. */
	private static final long MIN_PROBE_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();

	private final OrderSender orderSender;

	private final Consumer<Map<String, Boolean>> resultsListener;

	private final Map<String, Long> unresponsiveUntilNanos = new HashMap<>();

	private final Map<GroupId, Long> probedAtNanos = new HashMap<>();

	UnresponsiveInstances(OrderSender orderSender, Consumer<Map<String, Boolean>> resultsListener) {
		this.orderSender = orderSender;
		this.resultsListener = resultsListener;
	}

	/**
	 * Probes the members of a group, unless it was probed recently.
	 * @param nowNanos the monotonic time
	 * @param headId the group's head
	 * @param instances all listed instances
	 */
	void probeGroup(long nowNanos, String headId, List<ServingInstance> instances) {
		final Optional<GroupId> group = instances.stream()
			.filter((instance) -> instance.id().equals(headId))
			.findFirst()
			.flatMap(ServingInstance::membership)
			.map(Membership::group);
		this.probedAtNanos.values().removeIf((probedNanos) -> nowNanos - probedNanos >= MIN_PROBE_INTERVAL_NANOS);
		if (group.isEmpty() || this.probedAtNanos.putIfAbsent(group.get(), nowNanos) != null) {
			return;
		}
		final List<ServingInstance> members = instances.stream()
			.filter((instance) -> instance.isMemberOf(group.get()))
			.toList();
		final Map<String, CompletableFuture<Boolean>> probes = new HashMap<>();
		members.forEach((member) -> probes.put(member.id(), this.orderSender.probe(member)));
		CompletableFuture.allOf(probes.values().toArray(new CompletableFuture<?>[0])).thenRun(() -> {
			final Map<String, Boolean> answeredById = new HashMap<>();
			probes.forEach((id, answer) -> answeredById.put(id, answer.join()));
			this.resultsListener.accept(answeredById);
		});
	}

	/**
	 * Processes the probe results of a group's members.
	 * @param nowNanos the monotonic time
	 * @param answeredById whether each member answered, by its id
	 */
	void onProbeResults(long nowNanos, Map<String, Boolean> answeredById) {
		answeredById.keySet().forEach(this.unresponsiveUntilNanos::remove);
		if (!answeredById.containsValue(true)) {
			return;
		}
		answeredById.forEach((id, answered) -> {
			if (!answered) {
				Events.log(EventId.INSTANCE_UNRESPONSIVE, "instance", id, "asked", answeredById.size());
				this.unresponsiveUntilNanos.put(id, nowNanos + UNRESPONSIVE_NANOS);
			}
		});
	}

	/**
	 * Returns the instances that are currently treated as failed.
	 * @param nowNanos the monotonic time
	 * @return their ids
	 */
	Set<String> ids(long nowNanos) {
		this.unresponsiveUntilNanos.values().removeIf((untilNanos) -> nowNanos - untilNanos >= 0);
		return new HashSet<>(this.unresponsiveUntilNanos.keySet());
	}

}
