package org.pistachioline.core.presence;

import java.util.Collections;
import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;

import org.pistachioline.core.fleet.EnginePhase;
import org.pistachioline.core.fleet.EngineState;
import org.pistachioline.core.state.GroupState;

import static org.assertj.core.api.Assertions.assertThat;

class PresenceNodeTests {

	private static final long MAX_PROOF_AGE_MILLIS = 2_500;

	private final PresenceSimulation simulation = new PresenceSimulation();

	private GroupState groupServedByEightDaemons() {
		this.simulation.addDaemons(8, 3);
		final GroupState group = this.simulation.addGroup(0, "sign-copy", "rack-1", "zone-0", 4);
		this.simulation.runMillis(3_000);
		return group;
	}

	@Test
	void ofEightDaemonsAllServeAndOneProbes() {
		final GroupState group = groupServedByEightDaemons();
		assertThat(this.simulation.servingDaemons(group)).hasSize(8);
		this.simulation.probesByDaemon.clear();
		this.simulation.runMillis(10_000);
		assertThat(this.simulation.probesByDaemon.keySet()).containsExactly(this.simulation.servingOrder(group).get(0));
	}

	// A member's machine loses power. Until the last proof has aged, requests would run
	// on a
	// replica that lacks a part of its model, and callers would wait for nothing.
	@Test
	void aGroupWithAFailedMemberStopsServingAfterTheMaximumProofAge() {
		final GroupState group = groupServedByEightDaemons();
		this.simulation.failedMembers.add("i-0-2");
		this.simulation.runMillis(MAX_PROOF_AGE_MILLIS);
		assertThat(this.simulation.servingDaemons(group)).isEmpty();
		this.simulation.failedMembers.clear();
		this.simulation.runMillis(2_000);
		assertThat(this.simulation.servingDaemons(group)).hasSize(8);
	}

	// A member pauses, its group is formed anew elsewhere and back, and it wakes with the
	// old
	// epoch. It answers quickly, so only the epoch tells that it would run another model.
	@Test
	void aMemberThatReportsAnOldEpochStopsItsGroupBeforeTheMaximumProofAge() {
		final GroupState group = groupServedByEightDaemons();
		this.simulation.stateByMember.put("i-0-1",
				new EngineState("i-0-1", "g-0", 99, 1, "m", EnginePhase.READY, 0, 0));
		this.simulation.runMillis(1_700);
		assertThat(this.simulation.servingDaemons(group)).isEmpty();
	}

	// The daemon that probes is replaced, as all are from time to time. Its groups are
	// well;
	// if they stopped serving, callers would be refused at every restart of a daemon.
	@Test
	void aFailedProberIsReplacedBeforeAnyProofExpires() {
		final GroupState group = groupServedByEightDaemons();
		this.simulation.failedDaemons.add(this.simulation.servingOrder(group).get(0));
		for (int i = 0; i < 100; i++) {
			this.simulation.runMillis(100);
			assertThat(this.simulation.servingDaemons(group)).hasSize(7);
		}
	}

	@Test
	void aFailedProberAndStandbyAreReplacedWithinTheMaximumProofAge() {
		final GroupState group = groupServedByEightDaemons();
		this.simulation.failedDaemons.addAll(this.simulation.servingOrder(group).subList(0, 2));
		this.simulation.runMillis(2_500);
		assertThat(this.simulation.servingDaemons(group)).hasSize(6);
		this.simulation.runMillis(10_000);
		assertThat(this.simulation.servingDaemons(group)).hasSize(6);
	}

	// Every daemon that may probe is lost together with its zone. The rest hear nothing,
	// and
	// without the last resort they would refuse all work for a group that is well.
	@Test
	void otherServersProbeWhenAllProbersHaveFailed() {
		final GroupState group = groupServedByEightDaemons();
		this.simulation.failedDaemons.addAll(this.simulation.servingOrder(group).subList(0, 4));
		this.simulation.runMillis(4_000);
		assertThat(this.simulation.servingDaemons(group)).hasSize(4);
	}

	// A cut leaves a daemon with callers but neither members nor peers. It must not go on
	// sending work to groups whose members may be gone.
	@Test
	void anIsolatedDaemonServesNothingAfterTheMaximumProofAge() {
		final GroupState group = groupServedByEightDaemons();
		final String alone = this.simulation.servingOrder(group).get(5);
		this.simulation.canReach = (from, to) -> !from.equals(alone) && !to.equals(alone);
		this.simulation.runMillis(MAX_PROOF_AGE_MILLIS);
		assertThat(this.simulation.servingDaemons(group)).hasSize(7).doesNotContain(alone);
	}

	// The prober reaches its peers but not the members: its rounds end with nothing. The
	// group is well, and the stand-by can prove it.
	@Test
	void aProberThatCannotReachTheMembersDoesNotStopTheGroup() {
		final GroupState group = groupServedByEightDaemons();
		final String prober = this.simulation.servingOrder(group).get(0);
		this.simulation.canReach = (from, to) -> !(from.equals(prober) && to.startsWith("i-"));
		for (int i = 0; i < 100; i++) {
			this.simulation.runMillis(100);
			assertThat(this.simulation.servingDaemons(group)).contains(this.simulation.servingOrder(group).get(5))
				.hasSizeGreaterThan(6);
		}
	}

	// An answer waits in a socket for longer than the bound while its member dies. Were
	// its
	// age counted from its arrival, the group would serve for another 2.5 seconds.
	@Test
	void aResponseDelayedBeyondTheMaximumProofAgeProvesNothing() {
		final GroupState group = groupServedByEightDaemons();
		this.simulation.responseDelayNanos = 10_000 * PresenceSimulation.MILLI_NANOS;
		this.simulation.runMillis(11_000);
		this.simulation.failedMembers.add("i-0-0");
		for (int i = 0; i < 200; i++) {
			this.simulation.runMillis(100);
			if (i >= MAX_PROOF_AGE_MILLIS / 100) {
				assertThat(this.simulation.servingDaemons(group)).isEmpty();
			}
		}
	}

	@Test
	void anUnsolicitedResponseIsIgnored() {
		final GroupState group = groupServedByEightDaemons();
		final String server = this.simulation.servingOrder(group).get(6);
		final PresenceNode node = this.simulation.nodes.get(server);
		final GroupProof before = node.proofs(this.simulation.nowNanos).get(group.epoch());
		node.onResponse("daemon-0", -1, List.of(new GroupDigest(group.epoch(), 0, -1, 0, List.of(), 0, 0, 0)));
		assertThat(node.proofs(this.simulation.nowNanos).get(group.epoch())).isEqualTo(before);
	}

	// A rack goes dark. If every daemon then probed every member there, a storm of
	// connections would hit the switch that is coming back.
	@Test
	void anUnreachableGroupIsProbedByAtMostFourDaemons() {
		final GroupState group = groupServedByEightDaemons();
		group.members().forEach((member) -> this.simulation.failedMembers.add(member.instanceId()));
		this.simulation.runMillis(5_000);
		this.simulation.probesByDaemon.clear();
		this.simulation.runMillis(10_000);
		assertThat(this.simulation.probesByDaemon).hasSize(4);
	}

	@Test
	void eachDaemonServesABoundedShareOfALargeFleet() {
		this.simulation.addDaemons(92, 16);
		for (int number = 0; number < 400; number++) {
			this.simulation.addGroup(number, "large", "rack-" + number / 8, "zone-" + number / 8 % 16, 1);
		}
		this.simulation.addGroup(2_000, "desk", "rack-0", "zone-0", 1);
		this.simulation.runMillis(4_000);
		final List<Integer> served = this.simulation.nodes.values()
			.stream()
			.map((node) -> node.servingEpochs(this.simulation.nowNanos).size())
			.toList();
		assertThat(Collections.min(served)).isGreaterThan(8);
		assertThat(Collections.max(served)).isLessThan(200);
		assertThat(served.stream().mapToInt(Integer::intValue).average().orElseThrow()).isBetween(60.0, 70.0);
		final Set<String> desk = Set.copyOf(this.simulation.servingDaemons(this.simulation.groups.get("g-2000")));
		assertThat(desk).hasSize(92);
	}

}
