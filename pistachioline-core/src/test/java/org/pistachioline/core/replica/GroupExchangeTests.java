package org.pistachioline.core.replica;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class GroupExchangeTests {

	private static final long SECOND = 1_000_000_000L;

	private final ReplicaPlanner planner = new ReplicaPlanner(new PlannerTimes(6 * SECOND, 5 * SECOND));

	private final List<ServingInstance> instances = new ArrayList<>();

	/**
	 * A group of four lost a member. Its three survivors find no fourth, as all others of
	 * their domain are in pairs; callers of the larger model are refused meanwhile. Both
	 * models have less than their share of all instances, since survivors wait
	 * everywhere. One of the pairs has the weights of the larger model too, and is closed
	 * for it.
	 */
	@Test
	void aPairThatHasTheWeightsIsClosedToCompleteALargerGroup() {
		survivors(3);
		pair(1, Set.of("small"));
		pair(2, Set.of("large"));
		pair(3, Set.of("small"));
		lonely(6);
		assertThat(closed()).containsExactly("small.2");
	}

	/**
	 * After many losses survivors wait everywhere and both models have less than their
	 * share. Taken from the smaller model then, it fell from eight groups to five, and
	 * most of its callers, who are most of all callers, were late.
	 */
	@Test
	void nothingIsClosedWhereBothModelsAreShort() {
		survivors(3);
		pair(1, Set.of("small"));
		pair(2, Set.of("large"));
		pair(3, Set.of("small"));
		lonely(8);
		assertThat(closed()).isEmpty();
	}

	/** Were the pair closed here, the smaller model would be the one that is short. */
	@Test
	void nothingIsClosedWhereTheOtherModelHasNoMore() {
		survivors(3);
		pair(2, Set.of("large"));
		lonely(6);
		assertThat(closed()).isEmpty();
	}

	@Test
	void nothingIsClosedForSurvivorsWhoWouldStillBeTooFew() {
		survivors(1);
		for (int i = 1; i <= 5; i++) {
			pair(i, (i == 1) ? Set.of("large") : Set.of("small"));
		}
		assertThat(closed()).isEmpty();
	}

	private List<String> closed() {
		this.planner.beginTerm(0, 1, false);
		plan(10 * SECOND);
		return plan(11 * SECOND).stream()
			.filter((order) -> order instanceof ReplicaOrder.Close)
			.map(ReplicaOrder::subject)
			.toList();
	}

	private List<ReplicaOrder> plan(long nowNanos) {
		return this.planner
			.plan(new PlannerView(nowNanos, ReplicaWorld.ENGINE, this.instances, List.of(), Set.of(), false));
	}

	private void survivors(int count) {
		for (int i = 0; i < count; i++) {
			add("survivor-" + i, "d", Set.of("large"), Optional.empty());
		}
	}

	private void lonely(int count) {
		for (int i = 0; i < count; i++) {
			add("lonely-" + i, "other-" + i, Set.of("small"), Optional.empty());
		}
	}

	private void pair(int number, Set<String> staged) {
		final GroupId group = new GroupId("small." + number, number);
		add("head-" + number, "d", staged, Optional.of(new Membership(group, 0, MemberState.OPEN)));
		add("follower-" + number, "d", staged, Optional.of(new Membership(group, 1, MemberState.READY)));
	}

	private void add(String id, String domain, Set<String> staged, Optional<Membership> membership) {
		this.instances.add(new ServingInstance(id, "pool", id + ":1", "zone", domain, false, 12, staged, membership));
	}

}
