package org.pistachioline.core.replica;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.Test;

import org.pistachioline.core.route.EngineModel;
import org.pistachioline.core.route.EngineSpec;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Drives a planner that has taken over a group whose head it cannot reach, where
 * instances ignore fencing tokens.
 */
class IgnoredTokensTests {

	private static final long NANOS_PER_MILLI = 1_000_000;

	private static final long STALL_TIMEOUT_MILLIS = 6_000;

	private static final long STEP_MILLIS = 100;

	/** The time at which a join order of the former planner is executed. */
	private static final long LATE_JOIN_MILLIS = 3_000;

	private static final long END_MILLIS = 40_000;

	private static final GroupId GROUP = GroupId.of("m", 1);

	private static final EngineSpec ENGINE = new EngineSpec(4, List.of(new EngineModel("m", 2, 1, 1, 12_000, 1_100)), 5,
			4, 300);

	private final ReplicaPlanner planner = new ReplicaPlanner(
			new PlannerTimes(STALL_TIMEOUT_MILLIS * NANOS_PER_MILLI, 5_000 * NANOS_PER_MILLI), true,
			OrderFencing.IGNORED);

	private final ServingInstance head = instance("head", Optional.of(new Membership(GROUP, 0, MemberState.OPEN)));

	private Optional<Membership> followerMembership = Optional.of(new Membership(GROUP, 1, MemberState.READY));

	private long nowMillis;

	private boolean followerLeft;

	/** The group that the follower reports at each order to join another one. */
	private final List<Optional<Membership>> followerTakenFrom = new ArrayList<>();

	// Guards against a member that is taken from a serving group, because a late join has
	// brought it back after it was ordered to leave so that its head breaks.
	@Test
	void aFollowerIsTakenOnlyWhenNoLateJoinCanHaveKeptItsHeadServing() {
		this.planner.beginTerm(0, 2);
		while (this.nowMillis < END_MILLIS) {
			this.nowMillis += STEP_MILLIS;
			executeLateJoin();
			this.planner.plan(view()).forEach(this::execute);
		}
		assertThat(this.followerTakenFrom).isNotEmpty().containsOnly(Optional.empty());
	}

	private void executeLateJoin() {
		if (this.nowMillis == LATE_JOIN_MILLIS && this.followerLeft) {
			this.followerMembership = Optional.of(new Membership(GROUP, 1, MemberState.READY));
		}
	}

	private void execute(ReplicaOrder order) {
		if (order.instance().id().equals("head")) {
			this.planner.onOutcome(order, OrderOutcome.UNKNOWN);
			return;
		}
		if (order instanceof ReplicaOrder.Leave) {
			this.followerMembership = Optional.empty();
			this.followerLeft = true;
		}
		if (order instanceof ReplicaOrder.Join && order.instance().id().equals("follower")) {
			this.followerTakenFrom.add(this.followerMembership);
		}
		this.planner.onOutcome(order, OrderOutcome.STARTED);
	}

	private PlannerView view() {
		return new PlannerView(this.nowMillis * NANOS_PER_MILLI, ENGINE,
				List.of(instance("follower", this.followerMembership), instance("spare", Optional.empty())),
				List.of(this.head), Set.of("head"), false);
	}

	private static ServingInstance instance(String id, Optional<Membership> membership) {
		return new ServingInstance(id, "pool", id + ":1", "zone", "d", false, 4, Set.of("m"), membership);
	}

}
