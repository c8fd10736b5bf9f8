package org.pistachioline.core.replica;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class UnansweredJoinsTests {

	private static final long SECOND_NANOS = 1_000_000_000L;

	private final UnansweredJoins joins = new UnansweredJoins(true, OrderFencing.ENFORCED);

	private final ServingInstance head = instance("a");

	private final ServingInstance member = instance("b");

	// Guards against members that are assigned while a late join may still bring their
	// head back, because the head left a later join unanswered too.
	@Test
	void aLaterJoinOfAnotherGroupDoesNotHideAnEarlierOne() {
		this.joins.add(0, new ReplicaOrder.Join(this.head, GroupId.of("m", 1), List.of("a", "b")));
		this.joins.add(SECOND_NANOS, new ReplicaOrder.Join(this.head, GroupId.of("m", 2), List.of("c", "a")));
		assertThat(this.joins.mayReach(SECOND_NANOS, this.member, List.of())).isTrue();
		assertThat(this.joins.mayReach(SECOND_NANOS, this.head, List.of())).isTrue();
	}

	@Test
	void aJoinIsForgottenWhenItCanNoLongerArrive() {
		this.joins.add(0, new ReplicaOrder.Join(this.head, GroupId.of("m", 1), List.of("a", "b")));
		this.joins.removeExpired(13 * SECOND_NANOS);
		assertThat(this.joins.mayReach(13 * SECOND_NANOS, this.head, List.of())).isFalse();
		assertThat(this.joins.mayReach(13 * SECOND_NANOS, this.member, List.of())).isFalse();
	}

	// Guards against instances that a former planner's orders reach after a newer one's.
	@Test
	void whereTokensAreIgnoredEveryInstanceIsHeldAfterATakeOver() {
		final UnansweredJoins ignored = new UnansweredJoins(false, OrderFencing.IGNORED);
		ignored.takeOver(SECOND_NANOS);
		assertThat(ignored.mayReach(13 * SECOND_NANOS, this.head, List.of())).isTrue();
		assertThat(ignored.mayUndoLeave(13 * SECOND_NANOS, this.head)).isTrue();
		assertThat(ignored.mayReach(14 * SECOND_NANOS, this.head, List.of())).isFalse();
		assertThat(ignored.mayUndoLeave(14 * SECOND_NANOS, this.head)).isFalse();
	}

	// Guards against an instance that counts as outside a group which a late join of the
	// same planner brings it back into.
	@Test
	void whereTokensAreIgnoredAnUnansweredJoinHoldsItsInstanceWithoutFleetDecisions() {
		final UnansweredJoins ignored = new UnansweredJoins(false, OrderFencing.IGNORED);
		ignored.add(0, new ReplicaOrder.Join(this.head, GroupId.of("m", 1), List.of("a", "b")));
		assertThat(ignored.mayReach(SECOND_NANOS, this.head, List.of())).isTrue();
		assertThat(ignored.mayReach(SECOND_NANOS, this.member, List.of())).isTrue();
		assertThat(ignored.mayUndoLeave(SECOND_NANOS, this.head)).isTrue();
		assertThat(ignored.mayUndoLeave(SECOND_NANOS, this.member)).isFalse();
	}

	// Guards against a follower that leaves while its join is under way, is brought back
	// by
	// it, and keeps a head serving that counts as broken.
	@Test
	void whereTokensAreIgnoredAJoinWhoseAnswerIsDueMayUndoAnOrderToLeave() {
		final UnansweredJoins ignored = new UnansweredJoins(false, OrderFencing.IGNORED);
		final ReplicaOrder.Join join = new ReplicaOrder.Join(this.head, GroupId.of("m", 1), List.of("a", "b"));
		ignored.onSent(0, join);
		ignored.onSent(SECOND_NANOS / 2, join);
		ignored.onAnswer(join);
		assertThat(ignored.mayUndoLeave(SECOND_NANOS, this.head)).isTrue();
		ignored.onAnswer(join);
		assertThat(ignored.mayUndoLeave(SECOND_NANOS, this.head)).isFalse();
	}

	// Guards against groups whose members wait although no order can undo their end.
	@Test
	void whereTokensAreEnforcedNothingUndoesAnOrderToLeave() {
		this.joins.takeOver(0);
		this.joins.add(0, new ReplicaOrder.Join(this.head, GroupId.of("m", 1), List.of("a", "b")));
		assertThat(this.joins.mayUndoLeave(SECOND_NANOS, this.head)).isFalse();
		assertThat(this.joins.mayReach(SECOND_NANOS, instance("c"), List.of())).isFalse();
	}

	private static ServingInstance instance(String id) {
		return new ServingInstance(id, "pool", id + ":1", "zone", "d", false, 12, Set.of("m"), Optional.empty());
	}

}
