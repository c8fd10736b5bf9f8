package org.pistachioline.core.presence;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.BiPredicate;

import org.pistachioline.core.fleet.EnginePhase;
import org.pistachioline.core.fleet.EngineState;
import org.pistachioline.core.record.Member;
import org.pistachioline.core.state.GroupState;

/**
 * Daemons' presence nodes before fake members, in virtual time.
 */
final class PresenceSimulation {

	static final long MILLI_NANOS = 1_000_000;

	static final PresenceLimits LIMITS = new PresenceLimits(500 * MILLI_NANOS, 2_500 * MILLI_NANOS);

	private static final long TICK_NANOS = 100 * MILLI_NANOS;

	final Map<String, PresenceNode> nodes = new TreeMap<>();

	final Map<String, String> zones = new TreeMap<>();

	final Map<String, GroupState> groups = new TreeMap<>();

	final Set<String> failedDaemons = new HashSet<>();

	final Set<String> failedMembers = new HashSet<>();

	final Map<String, EngineState> stateByMember = new HashMap<>();

	final Map<String, Integer> probesByDaemon = new TreeMap<>();

	final Map<String, Integer> requestsByDaemon = new TreeMap<>();

	final Map<String, Integer> digestsByDaemon = new TreeMap<>();

	/** Whether a daemon reaches a daemon or a member. */
	BiPredicate<String, String> canReach = (from, to) -> true;

	long responseDelayNanos;

	long nowNanos = 17;

	private final Deque<DelayedResponse> delayedResponses = new ArrayDeque<>();

	void addDaemons(int count, int zoneCount) {
		for (int i = 0; i < count; i++) {
			final String id = "daemon-" + i;
			this.zones.put(id, "zone-" + i % zoneCount);
			this.nodes.put(id, new PresenceNode(id, LIMITS));
		}
	}

	GroupState addGroup(int number, String model, String domain, String zone, int members) {
		final List<Member> list = new ArrayList<>();
		final long epoch = 100 + number;
		for (int rank = 0; rank < members; rank++) {
			final String id = "i-" + number + "-" + rank;
			list.add(new Member(id, domain, "10.0.0.1:1", zone, 1));
			this.stateByMember.put(id, new EngineState(id, "g-" + number, epoch, rank, model, EnginePhase.READY, 0, 0));
		}
		final GroupState group = new GroupState("g-" + number, model, epoch, false, "", list, 1);
		this.groups.put(group.groupId(), group);
		return group;
	}

	void runMillis(long millis) {
		final long endNanos = this.nowNanos + millis * MILLI_NANOS;
		while (this.nowNanos < endNanos) {
			this.nowNanos += TICK_NANOS;
			while (!this.delayedResponses.isEmpty() && this.delayedResponses.peek().deliverAtNanos() <= this.nowNanos) {
				this.delayedResponses.poll().delivery().run();
			}
			this.nodes.forEach((id, node) -> {
				if (!this.failedDaemons.contains(id)) {
					tick(id, node);
				}
			});
		}
	}

	private void tick(String id, PresenceNode node) {
		node.update(this.groups, this.zones, this.nowNanos);
		final PresenceStep step = node.step(List.of(), this.nowNanos);
		for (final Member member : step.probes()) {
			this.probesByDaemon.merge(id, 1, Integer::sum);
			if (!this.failedMembers.contains(member.instanceId()) && this.canReach.test(id, member.instanceId())) {
				node.onProbeResponse(member.instanceId(), this.stateByMember.get(member.instanceId()), this.nowNanos);
			}
		}
		for (final PresenceRequest question : step.requests()) {
			this.requestsByDaemon.merge(id, 1, Integer::sum);
			final String other = question.daemonId();
			if (!this.failedDaemons.contains(other) && this.canReach.test(id, other)) {
				final List<GroupDigest> answer = this.nodes.get(other).respond(question.epochs(), this.nowNanos);
				this.digestsByDaemon.merge(other, answer.size(), Integer::sum);
				this.delayedResponses.add(new DelayedResponse(this.nowNanos + this.responseDelayNanos,
						() -> node.onResponse(other, question.correlationId(), answer)));
			}
		}
	}

	boolean serves(String daemon, GroupState group) {
		return this.nodes.get(daemon).servingEpochs(this.nowNanos).contains(group.epoch());
	}

	List<String> servingDaemons(GroupState group) {
		return this.nodes.keySet()
			.stream()
			.filter((id) -> !this.failedDaemons.contains(id) && serves(id, group))
			.toList();
	}

	List<String> servingOrder(GroupState group) {
		return ServingOrder.forGroup(group.groupId(),
				ServingOrder.forDomain(group.fabricDomain(), group.members().get(0).availabilityZone(), this.zones));
	}

	private record DelayedResponse(long deliverAtNanos, Runnable delivery) {
	}

}
