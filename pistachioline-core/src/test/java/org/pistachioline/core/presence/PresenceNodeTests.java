package org.pistachioline.core.presence;

import java.util.Collections;
import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;

import org.pistachioline.core.fleet.HeldPhase;
import org.pistachioline.core.fleet.HeldState;
import org.pistachioline.core.state.GroupState;

import static org.assertj.core.api.Assertions.assertThat;

class PresenceNodeTests {

	private static final long BOUND_MILLIS = 2_500;

	private final PresenceWorld world = new PresenceWorld();

	private GroupState groupBeforeEightDaemons() {
		this.world.daemons(8, 3);
		final GroupState group = this.world.group(0, "sign-copy", "rack-1", "zone-0", 4);
		this.world.run(3_000);
		return group;
	}

	@Test
	void atEightDaemonsAllServeAndOneProbes() {
		final GroupState group = groupBeforeEightDaemons();
		assertThat(this.world.servers(group)).hasSize(8);
		this.world.probesByDaemon.clear();
		this.world.run(10_000);
		assertThat(this.world.probesByDaemon.keySet()).containsExactly(this.world.order(group).get(0));
	}

	// A member's machine loses power. Until the last proof has aged, requests would run
	// on a
	// replica that lacks a part of its model, and callers would wait for nothing.
	@Test
	void aGroupWhoseMemberDiesServesNowhereAfterTheBound() {
		final GroupState group = groupBeforeEightDaemons();
		this.world.deadMembers.add("i-0-2");
		this.world.run(BOUND_MILLIS);
		assertThat(this.world.servers(group)).isEmpty();
		this.world.deadMembers.clear();
		this.world.run(2_000);
		assertThat(this.world.servers(group)).hasSize(8);
	}

	// A member pauses, its group is formed anew elsewhere and back, and it wakes with the
	// old
	// epoch. It answers quickly, so only the epoch tells that it would run another model.
	@Test
	void aMemberThatReturnsWithAnOldEpochStopsItsGroupWithoutWaitingForTheBound() {
		final GroupState group = groupBeforeEightDaemons();
		this.world.heldByMember.put("i-0-1", new HeldState("i-0-1", "g-0", 99, 1, "m", HeldPhase.READY, 0, 0));
		this.world.run(1_700);
		assertThat(this.world.servers(group)).isEmpty();
	}

	// The daemon that probes is replaced, as all are from time to time. Its groups are
	// well;
	// if they stopped serving, callers would be refused at every restart of a daemon.
	@Test
	void aDeadProberIsReplacedBeforeAnyProofAges() {
		final GroupState group = groupBeforeEightDaemons();
		this.world.deadDaemons.add(this.world.order(group).get(0));
		for (int i = 0; i < 100; i++) {
			this.world.run(100);
			assertThat(this.world.servers(group)).hasSize(7);
		}
	}

	@Test
	void deadProberAndDeadStandbyAreReplacedWithinTheBound() {
		final GroupState group = groupBeforeEightDaemons();
		this.world.deadDaemons.addAll(this.world.order(group).subList(0, 2));
		this.world.run(2_500);
		assertThat(this.world.servers(group)).hasSize(6);
		this.world.run(10_000);
		assertThat(this.world.servers(group)).hasSize(6);
	}

	// Every daemon that may probe is lost together with its zone. The rest hear nothing,
	// and
	// without the last resort they would refuse all work for a group that is well.
	@Test
	void theRestProbeWhenAllProbersAreDead() {
		final GroupState group = groupBeforeEightDaemons();
		this.world.deadDaemons.addAll(this.world.order(group).subList(0, 4));
		this.world.run(4_000);
		assertThat(this.world.servers(group)).hasSize(4);
	}

	// A cut leaves a daemon with callers but neither members nor peers. It must not go on
	// sending work to groups whose members may be gone.
	@Test
	void aDaemonCutOffFromMembersAndPeersServesNothingAfterTheBound() {
		final GroupState group = groupBeforeEightDaemons();
		final String alone = this.world.order(group).get(5);
		this.world.reaches = (from, to) -> !from.equals(alone) && !to.equals(alone);
		this.world.run(BOUND_MILLIS);
		assertThat(this.world.servers(group)).hasSize(7).doesNotContain(alone);
	}

	// The prober reaches its peers but not the members: its rounds end with nothing. The
	// group is well, and the stand-by can prove it.
	@Test
	void aProberCutOffFromTheMembersDoesNotStopTheGroup() {
		final GroupState group = groupBeforeEightDaemons();
		final String prober = this.world.order(group).get(0);
		this.world.reaches = (from, to) -> !(from.equals(prober) && to.startsWith("i-"));
		for (int i = 0; i < 100; i++) {
			this.world.run(100);
			assertThat(this.world.servers(group)).contains(this.world.order(group).get(5)).hasSizeGreaterThan(6);
		}
	}

	// An answer waits in a socket for longer than the bound while its member dies. Were
	// its
	// age counted from its arrival, the group would serve for another 2.5 seconds.
	@Test
	void anAnswerThatWasLongOnItsWayProvesNothing() {
		final GroupState group = groupBeforeEightDaemons();
		this.world.delayNanos = 10_000 * PresenceWorld.MILLI;
		this.world.run(11_000);
		this.world.deadMembers.add("i-0-0");
		for (int i = 0; i < 200; i++) {
			this.world.run(100);
			if (i >= BOUND_MILLIS / 100) {
				assertThat(this.world.servers(group)).isEmpty();
			}
		}
	}

	@Test
	void anUnaskedAnswerChangesNothing() {
		final GroupState group = groupBeforeEightDaemons();
		final String server = this.world.order(group).get(6);
		final PresenceNode node = this.world.nodes.get(server);
		final GroupProof before = node.proofs(this.world.nowNanos).get(group.epoch());
		node.onAnswer("daemon-0", -1, List.of(new GroupDigest(group.epoch(), 0, -1, 0, List.of(), 0, 0, 0)));
		assertThat(node.proofs(this.world.nowNanos).get(group.epoch())).isEqualTo(before);
	}

	// A rack goes dark. If every daemon then probed every member there, a storm of
	// connections would hit the switch that is coming back.
	@Test
	void aDarkGroupIsProbedByFourDaemonsAtMost() {
		final GroupState group = groupBeforeEightDaemons();
		group.members().forEach((member) -> this.world.deadMembers.add(member.instanceId()));
		this.world.run(5_000);
		this.world.probesByDaemon.clear();
		this.world.run(10_000);
		assertThat(this.world.probesByDaemon).hasSize(4);
	}

	@Test
	void eachDaemonServesABoundedShareOfALargeFleet() {
		this.world.daemons(92, 16);
		for (int number = 0; number < 400; number++) {
			this.world.group(number, "large", "rack-" + number / 8, "zone-" + number / 8 % 16, 1);
		}
		this.world.group(2_000, "desk", "rack-0", "zone-0", 1);
		this.world.run(4_000);
		final List<Integer> served = this.world.nodes.values()
			.stream()
			.map((node) -> node.serving(this.world.nowNanos).size())
			.toList();
		assertThat(Collections.min(served)).isGreaterThan(8);
		assertThat(Collections.max(served)).isLessThan(200);
		assertThat(served.stream().mapToInt(Integer::intValue).average().orElseThrow()).isBetween(60.0, 70.0);
		final Set<String> desk = Set.copyOf(this.world.servers(this.world.groups.get("g-2000")));
		assertThat(desk).hasSize(92);
	}

}
