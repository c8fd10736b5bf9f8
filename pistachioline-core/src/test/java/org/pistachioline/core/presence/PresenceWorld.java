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

import org.pistachioline.core.fleet.HeldPhase;
import org.pistachioline.core.fleet.HeldState;
import org.pistachioline.core.record.Member;
import org.pistachioline.core.state.GroupState;

/**
 * Daemons' presence nodes before fake members, in virtual time.
 */
final class PresenceWorld {

	static final long MILLI = 1_000_000;

	static final PresenceLimits LIMITS = new PresenceLimits(500 * MILLI, 2_500 * MILLI);

	private static final long TICK_NANOS = 100 * MILLI;

	final Map<String, PresenceNode> nodes = new TreeMap<>();

	final Map<String, String> zones = new TreeMap<>();

	final Map<String, GroupState> groups = new TreeMap<>();

	final Set<String> deadDaemons = new HashSet<>();

	final Set<String> deadMembers = new HashSet<>();

	final Map<String, HeldState> heldByMember = new HashMap<>();

	final Map<String, Integer> probesByDaemon = new TreeMap<>();

	final Map<String, Integer> questionsByDaemon = new TreeMap<>();

	final Map<String, Integer> digestsByDaemon = new TreeMap<>();

	/** Whether a daemon reaches a daemon or a member. */
	BiPredicate<String, String> reaches = (from, to) -> true;

	long delayNanos;

	long nowNanos = 17;

	private final Deque<Late> late = new ArrayDeque<>();

	void daemons(int count, int zoneCount) {
		for (int i = 0; i < count; i++) {
			final String id = "daemon-" + i;
			this.zones.put(id, "zone-" + i % zoneCount);
			this.nodes.put(id, new PresenceNode(id, LIMITS));
		}
	}

	GroupState group(int number, String model, String domain, String zone, int members) {
		final List<Member> list = new ArrayList<>();
		final long epoch = 100 + number;
		for (int rank = 0; rank < members; rank++) {
			final String id = "i-" + number + "-" + rank;
			list.add(new Member(id, domain, "10.0.0.1:1", zone, 1));
			this.heldByMember.put(id, new HeldState(id, "g-" + number, epoch, rank, model, HeldPhase.READY, 0, 0));
		}
		final GroupState group = new GroupState("g-" + number, model, epoch, false, "", list, 1);
		this.groups.put(group.groupId(), group);
		return group;
	}

	void run(long millis) {
		final long endNanos = this.nowNanos + millis * MILLI;
		while (this.nowNanos < endNanos) {
			this.nowNanos += TICK_NANOS;
			while (!this.late.isEmpty() && this.late.peek().atNanos() <= this.nowNanos) {
				this.late.poll().step().run();
			}
			this.nodes.forEach((id, node) -> {
				if (!this.deadDaemons.contains(id)) {
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
			if (!this.deadMembers.contains(member.instanceId()) && this.reaches.test(id, member.instanceId())) {
				node.onHeld(member.instanceId(), this.heldByMember.get(member.instanceId()), this.nowNanos);
			}
		}
		for (final PresenceQuestion question : step.questions()) {
			this.questionsByDaemon.merge(id, 1, Integer::sum);
			final String other = question.daemonId();
			if (!this.deadDaemons.contains(other) && this.reaches.test(id, other)) {
				final List<GroupDigest> answer = this.nodes.get(other).answer(question.epochs(), this.nowNanos);
				this.digestsByDaemon.merge(other, answer.size(), Integer::sum);
				this.late.add(new Late(this.nowNanos + this.delayNanos,
						() -> node.onAnswer(other, question.token(), answer)));
			}
		}
	}

	boolean serves(String daemon, GroupState group) {
		return this.nodes.get(daemon).serving(this.nowNanos).contains(group.epoch());
	}

	List<String> servers(GroupState group) {
		return this.nodes.keySet()
			.stream()
			.filter((id) -> !this.deadDaemons.contains(id) && serves(id, group))
			.toList();
	}

	List<String> order(GroupState group) {
		return ServingOrder.forGroup(group.groupId(),
				ServingOrder.of(group.fabricDomain(), group.members().get(0).availabilityZone(), this.zones));
	}

	private record Late(long atNanos, Runnable step) {
	}

}
