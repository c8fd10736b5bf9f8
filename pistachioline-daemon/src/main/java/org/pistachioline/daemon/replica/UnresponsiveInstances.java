package org.pistachioline.daemon.replica;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import org.pistachioline.core.event.EventId;
import org.pistachioline.core.replica.GroupId;
import org.pistachioline.core.replica.Membership;
import org.pistachioline.core.replica.ServingInstance;
import org.pistachioline.daemon.event.Events;
import org.pistachioline.daemon.port.OrderSender;
import org.pistachioline.daemon.port.ProbeResult;

/**
 * Detects the failed member of a stalled group before it is delisted.
 * <p>
 * An instance is delisted several heartbeats after its last one; until then the head of
 * its group accepts requests that are never answered. Stalled requests show within a
 * fraction of a second that a group makes no progress, but neither which member is the
 * cause nor whether it has failed: a sound instance may be silent for a second and go on,
 * and treating it as failed would close its group and cut all its streams. All members
 * are therefore probed, and as long as some do not answer while others of the group do,
 * they are probed again. Those that miss all probes for longer than a sound instance is
 * silent, or whose address refuses connections, are treated as failed, until they answer.
 * If none answers, this daemon's own network link may have failed, and no conclusion is
 * drawn.
 */
final class UnresponsiveInstances {

	/**
	 * By this time the instance has been delisted, or works and must be used again
	 * although its group has ended, so that nobody probes it any more. It also bounds the
	 * probes of an instance that never answers.
	 */
	private static final long UNRESPONSIVE_NANOS = Duration.ofSeconds(6).toNanos();

	/** Minimum interval between two probes of the same group. */
	private static final long MIN_PROBE_INTERVAL_NANOS = Duration.ofMillis(500).toNanos();

	private final OrderSender orderSender;

	private final Consumer<ProbeRound> resultsListener;

	private final Map<String, ProbeHistory> histories = new HashMap<>();

	private final Map<String, Long> unresponsiveUntilNanos = new HashMap<>();

	private final Map<GroupId, Long> probedAtNanos = new HashMap<>();

	UnresponsiveInstances(OrderSender orderSender, Consumer<ProbeRound> resultsListener) {
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
		instances.stream()
			.filter((instance) -> instance.id().equals(headId))
			.findFirst()
			.flatMap(UnresponsiveInstances::groupOf)
			.ifPresent((group) -> probe(nowNanos, group, instances));
	}

	/**
	 * Probes the groups of all instances that have missed a probe and not answered since,
	 * unless they were probed recently.
	 * @param nowNanos the monotonic time
	 * @param instances all listed instances
	 */
	void probeSilent(long nowNanos, List<ServingInstance> instances) {
		expire(nowNanos);
		if (this.histories.isEmpty()) {
			return;
		}
		instances.stream()
			.filter((instance) -> isSilent(instance.id()))
			.flatMap((instance) -> groupOf(instance).stream())
			.collect(Collectors.toSet())
			.forEach((group) -> probe(nowNanos, group, instances));
	}

	private boolean isSilent(String instanceId) {
		final ProbeHistory history = this.histories.get(instanceId);
		return (history != null && history.isSilent()) || this.unresponsiveUntilNanos.containsKey(instanceId);
	}

	private static Optional<GroupId> groupOf(ServingInstance instance) {
		return instance.membership().map(Membership::group);
	}

	private void probe(long nowNanos, GroupId group, List<ServingInstance> instances) {
		this.probedAtNanos.values().removeIf((probedNanos) -> nowNanos - probedNanos >= MIN_PROBE_INTERVAL_NANOS);
		if (this.probedAtNanos.putIfAbsent(group, nowNanos) != null) {
			return;
		}
		final Map<String, CompletableFuture<ProbeResult>> probes = new HashMap<>();
		instances.stream()
			.filter((instance) -> instance.isMemberOf(group))
			.forEach((member) -> probes.put(member.id(), this.orderSender.probe(member)));
		CompletableFuture.allOf(probes.values().toArray(new CompletableFuture<?>[0])).thenRun(() -> {
			final Map<String, ProbeResult> resultsById = new HashMap<>();
			probes.forEach((id, answer) -> resultsById.put(id, answer.join()));
			this.resultsListener.accept(new ProbeRound(nowNanos, resultsById));
		});
	}

	/**
	 * Processes the probe results of a group's members.
	 * @param nowNanos the monotonic time
	 * @param round the results
	 */
	void onProbeResults(long nowNanos, ProbeRound round) {
		round.resultsById().forEach((id, result) -> {
			if (result == ProbeResult.ANSWERED) {
				this.unresponsiveUntilNanos.remove(id);
			}
			if (result == ProbeResult.ANSWERED || !round.isAnswered()) {
				this.histories.put(id, historyBefore(id, round).withoutMissed(round.startedNanos()));
			}
			else {
				onMissedProbe(nowNanos, id, round);
			}
		});
	}

	// Without earlier probes, this one is the first that counts.
	private ProbeHistory historyBefore(String instanceId, ProbeRound round) {
		return this.histories.getOrDefault(instanceId, ProbeHistory.startingAt(round.startedNanos() - 1));
	}

	private void onMissedProbe(long nowNanos, String instanceId, ProbeRound round) {
		final ProbeHistory history = historyBefore(instanceId, round).withMissed(round.startedNanos(),
				MIN_PROBE_INTERVAL_NANOS);
		this.histories.put(instanceId, history);
		final boolean gone = round.resultsById().get(instanceId) == ProbeResult.GONE;
		if ((gone || history.isFailed(nowNanos)) && !this.unresponsiveUntilNanos.containsKey(instanceId)) {
			Events.log(EventId.INSTANCE_UNRESPONSIVE, "instance", instanceId, "asked", round.resultsById().size(),
					"missed", history.missedProbes(), "gone", gone, "silent_millis",
					TimeUnit.NANOSECONDS.toMillis(nowNanos - history.silentSinceNanos()));
			this.unresponsiveUntilNanos.put(instanceId, nowNanos + UNRESPONSIVE_NANOS);
		}
	}

	/**
	 * Returns the instances that are currently treated as failed.
	 * @param nowNanos the monotonic time
	 * @return their ids
	 */
	Set<String> ids(long nowNanos) {
		expire(nowNanos);
		return new HashSet<>(this.unresponsiveUntilNanos.keySet());
	}

	private void expire(long nowNanos) {
		this.unresponsiveUntilNanos.entrySet().removeIf((entry) -> {
			final boolean expired = nowNanos - entry.getValue() >= 0;
			if (expired) {
				// Probes on their way do not make it count as silent again.
				this.histories.put(entry.getKey(), ProbeHistory.startingAt(nowNanos));
			}
			return expired;
		});
		this.histories.values().removeIf((history) -> nowNanos - history.lastProbeNanos() >= UNRESPONSIVE_NANOS);
	}

}
