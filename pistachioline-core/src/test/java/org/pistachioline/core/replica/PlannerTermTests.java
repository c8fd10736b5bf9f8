package org.pistachioline.core.replica;

import java.util.List;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class PlannerTermTests {

	private static final long SECOND_NANOS = 1_000_000_000L;

	private static final long TICK_NANOS = 100_000_000L;

	private final ReplicaPlanner planner = PlannerFixture.planner();

	/**
	 * The store is unavailable until the planner's lease has expired, and the same daemon
	 * then reacquires it with the same term. Guards against restarting the epochs: a new
	 * group would get the name and epoch of a serving one, and take the members from its
	 * open head.
	 */
	@Test
	void epochsKeepRisingWhenTheLeaseIsReacquiredInTheSameTerm() {
		this.planner.beginTerm(0, 5);
		final List<ReplicaOrder> before = this.planner.plan(PlannerFixture.view(10 * SECOND_NANOS,
				PlannerFixture.free("a", "small"), PlannerFixture.free("b", "small")));
		final GroupId first = ((ReplicaOrder.Join) before.get(0)).group();
		this.planner.beginTerm(14 * SECOND_NANOS, 5);
		final List<ReplicaOrder> after = this.planner
			.plan(PlannerFixture.view(15 * SECOND_NANOS, PlannerFixture.member("a", first, 0, MemberState.OPEN),
					PlannerFixture.member("b", first, 1, MemberState.READY), PlannerFixture.free("c", "small"),
					PlannerFixture.free("e", "small")));
		assertThat(after).hasSize(2)
			.allMatch((order) -> order instanceof ReplicaOrder.Join join && join.group().epoch() > first.epoch());
	}

	/**
	 * Guards against a planner that forgets its own groups and orders when it reacquires
	 * its lease in the same term, and assigns their members once more.
	 */
	@Test
	void aLeaseThatIsReacquiredInTheSameTermKeepsTheGroupsOfThatTerm() {
		final ServingInstance[] instances = { PlannerFixture.free("a", "small"), PlannerFixture.free("b", "small") };
		this.planner.beginTerm(0, 5);
		final GroupId group = ((ReplicaOrder.Join) this.planner.plan(PlannerFixture.view(10 * SECOND_NANOS, instances))
			.get(0)).group();
		this.planner.beginTerm(14 * SECOND_NANOS, 5);
		assertThat(this.planner.plan(PlannerFixture.view(15 * SECOND_NANOS, instances))).hasSize(2)
			.allMatch((order) -> order instanceof ReplicaOrder.Join join && join.group().equals(group));
	}

	/**
	 * Guards against a planner that counts a group as its own although another daemon was
	 * the planner in between, and opens it while that one's late order still takes a
	 * member away.
	 */
	@Test
	void aGroupIsFormedAgainIfAnotherDaemonCanHavePlannedInBetween() {
		assertThat(ordersForAReadyGroupInTerm(6)).allMatch((order) -> order instanceof ReplicaOrder.Open).hasSize(1);
		assertThat(ordersForAReadyGroupInTerm(7)).isEmpty();
	}

	private static List<ReplicaOrder> ordersForAReadyGroupInTerm(long term) {
		final ReplicaPlanner planner = PlannerFixture.planner();
		planner.beginTerm(0, 5);
		final ReplicaOrder.Join join = (ReplicaOrder.Join) planner
			.plan(PlannerFixture.view(10 * SECOND_NANOS, PlannerFixture.free("a", "small"),
					PlannerFixture.free("b", "small")))
			.get(0);
		planner.beginTerm(11 * SECOND_NANOS, term);
		return planner.plan(PlannerFixture.view(11 * SECOND_NANOS,
				PlannerFixture.member(join.memberIds().get(0), join.group(), 0, MemberState.READY),
				PlannerFixture.member(join.memberIds().get(1), join.group(), 1, MemberState.READY)));
	}

	/**
	 * Guards against a new planner that takes an instance which an older list shows as
	 * free from a group that the previous planner has formed and opened since.
	 */
	@Test
	void aNewPlannerAssignsNoInstanceFromAListOlderThanItsTerm() {
		final List<ServingInstance> instances = List.of(PlannerFixture.free("a", "small"),
				PlannerFixture.free("b", "small"));
		this.planner.beginTerm(10 * SECOND_NANOS, 7);
		assertThat(this.planner.plan(viewAsOf(11 * SECOND_NANOS, 10 * SECOND_NANOS - 1, instances))).isEmpty();
		assertThat(this.planner.plan(viewAsOf(11 * SECOND_NANOS, 10 * SECOND_NANOS, instances))).hasSize(2)
			.allMatch((order) -> order instanceof ReplicaOrder.Join);
	}

	private static PlannerView viewAsOf(long nowNanos, long listAsOfNanos, List<ServingInstance> instances) {
		return new PlannerView(nowNanos, listAsOfNanos, ReplicaSimulation.ENGINE_SPEC, instances, List.of(), Set.of(),
				false, Map.of());
	}

	/**
	 * Guards against releasing the members of an earlier planner's incomplete group while
	 * a late order of that planner may still open it.
	 */
	@Test
	void anIncompleteGroupOfAnEarlierPlannerIsClosedBeforeItsMembersAreReassigned() {
		final GroupId group = GroupId.of("small", 5);
		final ServingInstance head = PlannerFixture.member("a", group, 0, MemberState.READY);
		final ServingInstance follower = PlannerFixture.member("b", group, 1, MemberState.READY);
		final ServingInstance outside = PlannerFixture.free("b", "small");
		this.planner.beginTerm(0, 1);
		assertThat(this.planner.plan(PlannerFixture.view(SECOND_NANOS, head, follower))).isEmpty();
		assertThat(this.planner.plan(PlannerFixture.view(SECOND_NANOS + TICK_NANOS, head, outside))).isEmpty();
		PlannerFixture.planAndAnswer(this.planner, 4 * SECOND_NANOS, new ReplicaOrder.Close(head, group, true),
				OrderOutcome.HOLDS, head, outside);
		PlannerFixture.planAndAnswer(this.planner, 4 * SECOND_NANOS + TICK_NANOS, new ReplicaOrder.Leave(head, group),
				OrderOutcome.STARTED, head, outside);
		assertThat(this.planner
			.plan(PlannerFixture.view(4 * SECOND_NANOS + 2 * TICK_NANOS, PlannerFixture.free("a", "small"), outside)))
			.hasSize(2)
			.allMatch((order) -> order instanceof ReplicaOrder.Join);
	}

	/**
	 * A planner closes a group to reassign its members and fails; one of its orders is
	 * executed seconds later. Guards against the next planner reopening the group, as
	 * that order would remove a member while the group serves.
	 */
	@Test
	void aReadyGroupOfAnEarlierPlannerIsFormedAgain() {
		final GroupId group = GroupId.of("small", 5);
		final ServingInstance head = PlannerFixture.member("a", group, 0, MemberState.READY);
		final ServingInstance follower = PlannerFixture.member("b", group, 1, MemberState.READY);
		this.planner.beginTerm(0, 1);
		assertThat(this.planner.plan(PlannerFixture.view(SECOND_NANOS, head, follower))).isEmpty();
		PlannerFixture.planAndAnswer(this.planner, 2 * SECOND_NANOS, new ReplicaOrder.Close(head, group, true),
				OrderOutcome.HOLDS, head, follower);
		PlannerFixture.planAndAnswer(this.planner, 2 * SECOND_NANOS + TICK_NANOS, new ReplicaOrder.Leave(head, group),
				OrderOutcome.STARTED, head, follower);
		assertThat(this.planner.plan(PlannerFixture.view(2 * SECOND_NANOS + 2 * TICK_NANOS, head, follower))).hasSize(2)
			.allMatch((order) -> order instanceof ReplicaOrder.Join join && join.group().epoch() > group.epoch());
	}

}
