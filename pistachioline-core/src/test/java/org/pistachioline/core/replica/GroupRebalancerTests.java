package org.pistachioline.core.replica;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class GroupRebalancerTests {

	private static final long SECOND_NANOS = 1_000_000_000L;

	private final ReplicaPlanner planner = PlannerFixture.planner();

	private final List<ServingInstance> instances = new ArrayList<>();

	/**
	 * Guards against callers of a larger model being refused because the three survivors
	 * of a group of four find no fourth member, as all other instances of their domain
	 * are in groups of two. Both models have less than their share of all instances. One
	 * of the groups of two also holds the weights of the larger model, and is closed for
	 * it.
	 */
	@Test
	void aSmallGroupHoldingTheWeightsIsClosedToCompleteALargerGroup() {
		addSurvivors(3);
		addPair(1, Set.of("small"));
		addPair(2, Set.of("large"));
		addPair(3, Set.of("small"));
		addIsolatedInstances(6);
		assertThat(closedGroups()).containsExactly("small.2");
	}

	/**
	 * After many losses survivors wait everywhere and both models are below their shares.
	 * Guards against taking instances from the smaller model in that state: it then fell
	 * from eight groups to five, and most of its callers, who are the majority, were
	 * late.
	 */
	@Test
	void noGroupIsClosedWhenBothModelsAreUnderprovisioned() {
		addSurvivors(3);
		addPair(1, Set.of("small"));
		addPair(2, Set.of("large"));
		addPair(3, Set.of("small"));
		addIsolatedInstances(8);
		assertThat(closedGroups()).isEmpty();
	}

	/** Closing the group of two here would leave the smaller model underprovisioned. */
	@Test
	void noGroupIsClosedWhenTheDonorModelWouldBecomeUnderprovisioned() {
		addSurvivors(3);
		addPair(2, Set.of("large"));
		addIsolatedInstances(6);
		assertThat(closedGroups()).isEmpty();
	}

	@Test
	void noGroupIsClosedWhenItsMembersWouldNotCompleteTheLargerGroup() {
		addSurvivors(1);
		for (int i = 1; i <= 5; i++) {
			addPair(i, (i == 1) ? Set.of("large") : Set.of("small"));
		}
		assertThat(closedGroups()).isEmpty();
	}

	private List<String> closedGroups() {
		this.planner.beginTerm(0, 1);
		plan(10 * SECOND_NANOS);
		return plan(11 * SECOND_NANOS).stream()
			.filter((order) -> order instanceof ReplicaOrder.Close)
			.map(ReplicaOrder::subject)
			.toList();
	}

	private List<ReplicaOrder> plan(long nowNanos) {
		return this.planner
			.plan(new PlannerView(nowNanos, ReplicaSimulation.ENGINE_SPEC, this.instances, List.of(), Set.of(), false));
	}

	private void addSurvivors(int count) {
		for (int i = 0; i < count; i++) {
			addInstance("survivor-" + i, "d", Set.of("large"), Optional.empty());
		}
	}

	private void addIsolatedInstances(int count) {
		for (int i = 0; i < count; i++) {
			addInstance("isolated-" + i, "other-" + i, Set.of("small"), Optional.empty());
		}
	}

	private void addPair(int number, Set<String> staged) {
		final GroupId group = new GroupId("small." + number, number);
		addInstance("head-" + number, "d", staged, Optional.of(new Membership(group, 0, MemberState.OPEN)));
		addInstance("follower-" + number, "d", staged, Optional.of(new Membership(group, 1, MemberState.READY)));
	}

	private void addInstance(String id, String domain, Set<String> staged, Optional<Membership> membership) {
		this.instances.add(new ServingInstance(id, "pool", id + ":1", "zone", domain, false, 12, staged, membership));
	}

}
