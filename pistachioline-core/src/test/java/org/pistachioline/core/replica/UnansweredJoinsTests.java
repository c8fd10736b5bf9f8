package org.pistachioline.core.replica;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class UnansweredJoinsTests {

	private static final long SECOND_NANOS = 1_000_000_000L;

	private final UnansweredJoins joins = new UnansweredJoins(true);

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

	private static ServingInstance instance(String id) {
		return new ServingInstance(id, "pool", id + ":1", "zone", "d", false, 12, Set.of("m"), Optional.empty());
	}

}
