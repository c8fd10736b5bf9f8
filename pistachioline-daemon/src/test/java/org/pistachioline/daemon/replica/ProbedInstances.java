package org.pistachioline.daemon.replica;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;

import org.pistachioline.core.replica.GroupId;
import org.pistachioline.core.replica.MemberState;
import org.pistachioline.core.replica.Membership;
import org.pistachioline.core.replica.OrderOutcome;
import org.pistachioline.core.replica.ReplicaOrder;
import org.pistachioline.core.replica.ServingInstance;
import org.pistachioline.daemon.port.InstanceListener;
import org.pistachioline.daemon.port.OrderSender;
import org.pistachioline.daemon.port.ProbeResult;

/**
 * Instances in virtual time that are silent for given spans, and the planner that probes
 * them at each tick as the replica duty does.
 */
final class ProbedInstances implements OrderSender {

	static final long NEVER_MILLIS = Long.MAX_VALUE;

	private static final long TICK_MILLIS = 100;

	private static final long PROBE_TIMEOUT_MILLIS = 500;

	private static final long NANOS_PER_MILLI = 1_000_000;

	/** Far below 0, as the monotonic clock may be. */
	private static final long START_NANOS = -1_000_000_000_000L;

	private final UnresponsiveInstances unresponsive = new UnresponsiveInstances(this,
			(round) -> this.results.add(() -> this.unresponsive.onProbeResults(nowNanos(), round)));

	private final Map<String, ServingInstance> instances = new HashMap<>();

	private final Map<String, List<Silence>> silences = new HashMap<>();

	private final Set<String> goneIds = new TreeSet<>();

	private final List<Probe> pending = new ArrayList<>();

	private final List<Runnable> results = new ArrayList<>();

	private final Set<String> everUnresponsive = new TreeSet<>();

	private final List<Long> probeTimesMillis = new ArrayList<>();

	private long nowMillis;

	private boolean resultsHeld;

	/**
	 * Lists a group, its head first; members of another group leave it.
	 * @param name the name of the group
	 * @param memberIds the ids of its members
	 */
	void addGroup(String name, String... memberIds) {
		for (int rank = 0; rank < memberIds.length; rank++) {
			final Membership membership = new Membership(new GroupId(name, 1), rank, MemberState.OPEN);
			this.instances.put(memberIds[rank], new ServingInstance(memberIds[rank], "chat", memberIds[rank] + ":80",
					"zone-a", "domain-a", false, 4, Set.of(), Optional.of(membership)));
		}
	}

	void remove(String instanceId) {
		this.instances.remove(instanceId);
	}

	/**
	 * Ends an instance whose entry stays listed, so that its address refuses connections.
	 * @param instanceId the instance
	 */
	void end(String instanceId) {
		this.goneIds.add(instanceId);
	}

	/**
	 * Makes an instance silent for a while, after which it answers open probes too.
	 * @param instanceId the instance
	 * @param fromMillis the time from which on it is silent
	 * @param untilMillis the time from which on it answers again
	 */
	void silence(String instanceId, long fromMillis, long untilMillis) {
		this.silences.computeIfAbsent(instanceId, (id) -> new ArrayList<>()).add(new Silence(fromMillis, untilMillis));
	}

	/**
	 * Withholds the results of all probe rounds, or hands over those that were withheld.
	 * @param hold whether to withhold them
	 */
	void holdResults(boolean hold) {
		this.resultsHeld = hold;
	}

	/** Reverses the order in which the withheld results will be handed over. */
	void reverseHeldResults() {
		Collections.reverse(this.results);
	}

	/**
	 * Reports requests that make no progress at a head.
	 * @param headId the head
	 */
	void reportStall(String headId) {
		this.unresponsive.probeGroup(nowNanos(), headId, listed());
		completeProbes();
	}

	/**
	 * Lets time pass, with a tick of the duty each 100 ms.
	 * @param untilMillis the time at which to stop
	 */
	void runUntil(long untilMillis) {
		while (this.nowMillis < untilMillis) {
			this.nowMillis += TICK_MILLIS;
			completeProbes();
			this.unresponsive.probeSilent(nowNanos(), listed());
			completeProbes();
			this.everUnresponsive.addAll(unresponsiveIds());
		}
	}

	Set<String> unresponsiveIds() {
		return this.unresponsive.ids(nowNanos());
	}

	Set<String> everUnresponsiveIds() {
		return Set.copyOf(this.everUnresponsive);
	}

	/**
	 * Returns when instances were probed.
	 * @return the times in milliseconds, of all probes of all instances
	 */
	List<Long> probeTimesMillis() {
		return List.copyOf(this.probeTimesMillis);
	}

	private void completeProbes() {
		for (final Probe probe : List.copyOf(this.pending)) {
			if (this.goneIds.contains(probe.instanceId())) {
				this.pending.remove(probe);
				probe.answer().complete(ProbeResult.GONE);
			}
			else if (!isSilent(probe.instanceId())) {
				this.pending.remove(probe);
				probe.answer().complete(ProbeResult.ANSWERED);
			}
			else if (this.nowMillis - probe.startedMillis() >= PROBE_TIMEOUT_MILLIS) {
				this.pending.remove(probe);
				probe.answer().complete(ProbeResult.SILENT);
			}
		}
		if (!this.resultsHeld) {
			final List<Runnable> due = List.copyOf(this.results);
			this.results.clear();
			due.forEach(Runnable::run);
		}
	}

	private boolean isSilent(String instanceId) {
		return this.silences.getOrDefault(instanceId, List.of())
			.stream()
			.anyMatch((silence) -> this.nowMillis >= silence.fromMillis() && this.nowMillis < silence.untilMillis());
	}

	private List<ServingInstance> listed() {
		return List.copyOf(this.instances.values());
	}

	private long nowNanos() {
		return START_NANOS + this.nowMillis * NANOS_PER_MILLI;
	}

	@Override
	public CompletableFuture<ProbeResult> probe(ServingInstance instance) {
		final Probe probe = new Probe(instance.id(), this.nowMillis, new CompletableFuture<>());
		this.pending.add(probe);
		this.probeTimesMillis.add(this.nowMillis);
		return probe.answer();
	}

	@Override
	public CompletableFuture<OrderOutcome> send(ReplicaOrder order, long fencingToken) {
		throw new UnsupportedOperationException("probes send no orders");
	}

	@Override
	public void setInstanceListener(InstanceListener listener) {
		throw new UnsupportedOperationException("probes have no listener");
	}

	private record Silence(long fromMillis, long untilMillis) {

	}

	private record Probe(String instanceId, long startedMillis, CompletableFuture<ProbeResult> answer) {

	}

}
