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
 * Finds the dead member of a group that stands still, earlier than the list drops it.
 * <p>
 * The list drops an instance some heartbeats after its last word; until then its group's
 * head takes requests that get no answer. Requests that stand still tell within a
 * fraction of a second that something is wrong with a group, though not with which
 * member. So all its members are asked, and those that do not answer while others of the
 * group do count as gone. Where none answers the fault may be this daemon's own link, and
 * nothing is concluded.
 */
final class UnresponsiveInstances {

	/** By then the list has dropped it, or it has shown that it lives. */
	private static final long UNRESPONSIVE_NANOS = Duration.ofSeconds(6).toNanos();

	/** A group is asked again after this time at the earliest. */
	private static final long MIN_PROBE_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();

	private final OrderSender orders;

	private final Consumer<Map<String, Boolean>> resultsListener;

	private final Map<String, Long> unresponsiveUntilNanos = new HashMap<>();

	private final Map<GroupId, Long> probedAtNanos = new HashMap<>();

	UnresponsiveInstances(OrderSender orders, Consumer<Map<String, Boolean>> probed) {
		this.orders = orders;
		this.resultsListener = probed;
	}

	/**
	 * Asks the members of a group.
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
		this.probedAtNanos.values().removeIf((askedNanos) -> nowNanos - askedNanos >= MIN_PROBE_INTERVAL_NANOS);
		if (group.isEmpty() || this.probedAtNanos.putIfAbsent(group.get(), nowNanos) != null) {
			return;
		}
		final List<ServingInstance> members = instances.stream()
			.filter((instance) -> instance.isMemberOf(group.get()))
			.toList();
		final Map<String, CompletableFuture<Boolean>> asked = new HashMap<>();
		members.forEach((member) -> asked.put(member.id(), this.orders.probe(member)));
		CompletableFuture.allOf(asked.values().toArray(new CompletableFuture<?>[0])).thenRun(() -> {
			final Map<String, Boolean> answers = new HashMap<>();
			asked.forEach((id, answer) -> answers.put(id, answer.join()));
			this.resultsListener.accept(answers);
		});
	}

	/**
	 * Takes the answers of a group's members.
	 * @param nowNanos the monotonic time
	 * @param answered for each member whether it answered
	 */
	void onProbeResults(long nowNanos, Map<String, Boolean> answered) {
		answered.keySet().forEach(this.unresponsiveUntilNanos::remove);
		if (!answered.containsValue(true)) {
			return;
		}
		answered.forEach((id, alive) -> {
			if (!alive) {
				Events.log(EventId.INSTANCE_UNRESPONSIVE, "instance", id, "asked", answered.size());
				this.unresponsiveUntilNanos.put(id, nowNanos + UNRESPONSIVE_NANOS);
			}
		});
	}

	/**
	 * Returns the instances that count as gone.
	 * @param nowNanos the monotonic time
	 * @return their ids
	 */
	Set<String> ids(long nowNanos) {
		this.unresponsiveUntilNanos.values().removeIf((untilNanos) -> nowNanos - untilNanos >= 0);
		return new HashSet<>(this.unresponsiveUntilNanos.keySet());
	}

}
