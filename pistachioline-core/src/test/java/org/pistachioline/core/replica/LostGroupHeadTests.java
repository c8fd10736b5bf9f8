package org.pistachioline.core.replica;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class LostGroupHeadTests {

	private static final long SECOND_NANOS = 1_000_000_000L;

	private static final long TICK_NANOS = 100_000_000L;

	private final ReplicaPlanner planner = PlannerFixture.planner();

	/**
	 * The host of a group's head fails. As the planner cannot tell a failed head from an
	 * unreachable one, a member leaves, which breaks the head after its stall timeout.
	 * Guards against reassigning the survivors earlier than that, or much later.
	 */
	@Test
	void survivorsOfAFailedHeadAreFreeAfterItsStallTimeout() {
		final GroupId group = GroupId.of("small", 5);
		final ServingInstance head = PlannerFixture.member("a", group, 0, MemberState.OPEN);
		final ServingInstance follower = PlannerFixture.member("b", group, 1, MemberState.READY);
		final ServingInstance spare = PlannerFixture.free("c", "small");
		this.planner.beginTerm(0, 1);
		this.planner.plan(PlannerFixture.view(10 * SECOND_NANOS, head, follower));
		PlannerFixture.planAndAnswer(this.planner, 10 * SECOND_NANOS + 5 * TICK_NANOS,
				new ReplicaOrder.Close(head, group, true), OrderOutcome.UNKNOWN, follower, spare);
		PlannerFixture.planAndAnswer(this.planner, 11 * SECOND_NANOS, new ReplicaOrder.Leave(follower, group),
				OrderOutcome.HOLDS, follower, spare);
		final ServingInstance left = new ServingInstance("b", "pool", "b:1", "zone", "d", false, 12, Set.of("small"),
				Optional.empty());
		assertThat(this.planner.plan(PlannerFixture.view(11 * SECOND_NANOS + TICK_NANOS, left, spare))).isEmpty();
		assertThat(this.planner.plan(PlannerFixture.view(17 * SECOND_NANOS + 4 * TICK_NANOS, left, spare)))
			.noneMatch((order) -> order instanceof ReplicaOrder.Join);
		assertThat(this.planner.plan(PlannerFixture.view(17 * SECOND_NANOS + 7 * TICK_NANOS, left, spare)))
			.filteredOn((order) -> order instanceof ReplicaOrder.Join)
			.extracting((order) -> order.instance().id())
			.containsExactlyInAnyOrder("b", "c");
	}

	/**
	 * Requests stall at a group, and only its head does not answer. Guards against
	 * waiting for the head to answer a close order, as the survivors do not serve during
	 * that time.
	 */
	@Test
	void aFollowerIsOrderedToLeaveAtOnceWhenTheHeadIsUnresponsive() {
		final GroupId group = GroupId.of("small", 5);
		final ServingInstance head = PlannerFixture.member("a", group, 0, MemberState.OPEN);
		final ServingInstance follower = PlannerFixture.member("b", group, 1, MemberState.READY);
		this.planner.beginTerm(0, 1);
		this.planner.plan(PlannerFixture.view(10 * SECOND_NANOS, head, follower));
		assertThat(this.planner.plan(new PlannerView(11 * SECOND_NANOS, ReplicaSimulation.ENGINE_SPEC,
				List.of(follower), List.of(), Set.of("a"), false)))
			.containsExactlyInAnyOrder(new ReplicaOrder.Close(head, group, true),
					new ReplicaOrder.Leave(follower, group));
	}

	/**
	 * A head loses its connection to the store and is delisted, but continues to serve.
	 * Guards against reassigning its members at once, which loses the requests that it
	 * runs.
	 */
	@Test
	void aDelistedHeadIsOrderedToCloseBeforeItsMembersAreReassigned() {
		final GroupId group = GroupId.of("small", 5);
		final ServingInstance head = PlannerFixture.member("a", group, 0, MemberState.OPEN);
		final ServingInstance follower = PlannerFixture.member("b", group, 1, MemberState.READY);
		final ServingInstance spare = PlannerFixture.free("c", "small");
		this.planner.beginTerm(0, 1);
		this.planner.plan(PlannerFixture.view(10 * SECOND_NANOS, head, follower));
		PlannerFixture.planAndAnswer(this.planner, 11 * SECOND_NANOS, new ReplicaOrder.Close(head, group, true),
				OrderOutcome.STARTED, follower, spare);
		PlannerFixture.planAndAnswer(this.planner, 11 * SECOND_NANOS + TICK_NANOS, new ReplicaOrder.Leave(head, group),
				OrderOutcome.STARTED, follower, spare);
		assertThat(this.planner.plan(PlannerFixture.view(11 * SECOND_NANOS + 2 * TICK_NANOS, follower, spare)))
			.allMatch((order) -> order instanceof ReplicaOrder.Join)
			.extracting((order) -> order.instance().id())
			.containsExactlyInAnyOrder("b", "c");
	}

	/**
	 * Guards against a group that goes on under its epoch after its head has left by
	 * order: a head that is delisted later would count as gone while it serves.
	 */
	@Test
	void aGroupWhoseHeadHasLeftIsNotJoinedAgain() {
		this.planner.beginTerm(0, 1);
		final ReplicaOrder.Join join = (ReplicaOrder.Join) this.planner
			.plan(PlannerFixture.view(10 * SECOND_NANOS, PlannerFixture.free("a", "small"),
					PlannerFixture.free("b", "small")))
			.get(0);
		final GroupId group = join.group();
		final String headId = join.memberIds().get(0);
		final String followerId = join.memberIds().get(1);
		final ServingInstance head = PlannerFixture.member(headId, group, 0, MemberState.READY);
		final ServingInstance openHead = PlannerFixture.member(headId, group, 0, MemberState.OPEN);
		final ServingInstance follower = PlannerFixture.member(followerId, group, 1, MemberState.READY);
		PlannerFixture.planAndAnswer(this.planner, 12 * SECOND_NANOS, new ReplicaOrder.Open(head, group),
				OrderOutcome.STARTED, head, follower);
		PlannerFixture.planAndAnswer(this.planner, 13 * SECOND_NANOS, new ReplicaOrder.Close(openHead, group, true),
				OrderOutcome.STARTED, openHead);
		PlannerFixture.planAndAnswer(this.planner, 13 * SECOND_NANOS + 5 * TICK_NANOS,
				new ReplicaOrder.Leave(head, group), OrderOutcome.STARTED, head);
		assertThat(this.planner.plan(PlannerFixture.view(13 * SECOND_NANOS + 6 * TICK_NANOS,
				PlannerFixture.free(headId, "small"), follower)))
			.allMatch((order) -> order instanceof ReplicaOrder.Join next && next.group().epoch() > group.epoch())
			.hasSize(2);
	}

	/**
	 * Guards against a head that is kept for ever because an order to leave was executed
	 * without an answer, and is answered as unfit ever after.
	 */
	@Test
	void aClosedHeadThatCannotLeaveIsOutsideItsGroup() {
		final GroupId group = GroupId.of("small", 5);
		final ServingInstance head = PlannerFixture.member("a", group, 0, MemberState.OPEN);
		final ServingInstance left = PlannerFixture.free("a", "small");
		this.planner.beginTerm(0, 1);
		assertThat(this.planner.plan(PlannerFixture.view(SECOND_NANOS, head))).hasSize(1);
		this.planner.onOutcome(new ReplicaOrder.Close(head, group, true), OrderOutcome.STARTED);
		PlannerFixture.planAndAnswer(this.planner, 2 * SECOND_NANOS, new ReplicaOrder.Leave(left, group),
				OrderOutcome.UNKNOWN, left);
		PlannerFixture.planAndAnswer(this.planner, 3 * SECOND_NANOS, new ReplicaOrder.Leave(left, group),
				OrderOutcome.UNFIT, left);
		assertThat(this.planner
			.plan(PlannerFixture.view(3 * SECOND_NANOS + TICK_NANOS, left, PlannerFixture.free("c", "small"))))
			.hasSize(2)
			.allMatch((order) -> order instanceof ReplicaOrder.Join);
	}

	/**
	 * Guards against taking a head that cannot close because it still joins for one that
	 * has left: a late order to open would make it serve without its members.
	 */
	@Test
	void aHeadThatCannotCloseIsOrderedToLeaveBeforeItsMembersAreReassigned() {
		final GroupId group = GroupId.of("small", 5);
		final ServingInstance head = PlannerFixture.member("a", group, 0, MemberState.JOINING);
		final ServingInstance follower = PlannerFixture.member("b", group, 1, MemberState.READY);
		this.planner.beginTerm(0, 1);
		final ServingInstance draining = head.asDraining();
		assertThat(this.planner.plan(PlannerFixture.view(SECOND_NANOS, draining, follower))).isEmpty();
		PlannerFixture.planAndAnswer(this.planner, 2 * SECOND_NANOS, new ReplicaOrder.Close(draining, group, true),
				OrderOutcome.UNFIT, draining, follower);
		PlannerFixture.planAndAnswer(this.planner, 2 * SECOND_NANOS + TICK_NANOS,
				new ReplicaOrder.Leave(draining, group), OrderOutcome.UNFIT, draining, follower);
		assertThat(this.planner.plan(PlannerFixture.view(2 * SECOND_NANOS + 2 * TICK_NANOS, draining, follower,
				PlannerFixture.free("c", "small"))))
			.allMatch((order) -> order instanceof ReplicaOrder.Join)
			.extracting((order) -> order.instance().id())
			.containsExactlyInAnyOrder("b", "c");
	}

}
