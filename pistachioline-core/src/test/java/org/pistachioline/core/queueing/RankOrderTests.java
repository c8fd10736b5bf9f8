package org.pistachioline.core.queueing;

import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import org.pistachioline.core.traffic.ClaimRequirement;
import org.pistachioline.core.traffic.RequestInfo;
import org.pistachioline.core.traffic.TargetKind;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the order across workspaces where requests of different priority wait for a slot.
 */
class RankOrderTests {

	private static final long MILLI_NANOS = 1_000_000L;

	private static final long ON_TIME_NANOS = 300 * MILLI_NANOS;

	private static final long DEADLINE_NANOS = 1_400 * MILLI_NANOS;

	private static RequestInfo request(long id, String workspace, int priority) {
		return new RequestInfo(id, workspace, TargetKind.MODEL, "pool/small", 100, 50, priority, DEADLINE_NANOS,
				3 * DEADLINE_NANOS, true, ClaimRequirement.NONE, "", List.of(), 2, ON_TIME_NANOS);
	}

	private static FairQueue queue(boolean roomForLate) {
		return FairQueue.byRank(100, new OnTimeFirstOrder(), (info) -> roomForLate);
	}

	private static Optional<Long> poll(FairQueue queue, long nowNanos) {
		return queue.poll(nowNanos, (info) -> 1).map(RequestInfo::requestId);
	}

	@Test
	void theMoreUrgentRequestOfAnotherWorkspaceGoesFirst() {
		final FairQueue queue = queue(true);
		queue.offer(0, request(1, "a", 7));
		queue.offer(0, request(2, "b", 9));
		assertThat(poll(queue, 0)).contains(2L);
	}

	@Test
	void aRequestOnTimeGoesBeforeAMoreUrgentOneThatIsLate() {
		final FairQueue queue = queue(true);
		queue.offer(0, request(1, "a", 9).withSoftDeadlineNanos(-1));
		queue.offer(0, request(2, "b", 7));
		assertThat(poll(queue, 0)).contains(2L);
	}

	@Test
	void workspacesOfEqualRankTakeTurns() {
		final FairQueue queue = queue(true);
		queue.offer(0, request(1, "a", 9));
		queue.offer(0, request(2, "a", 9));
		queue.offer(0, request(3, "b", 9));
		assertThat(poll(queue, 0)).contains(1L);
		assertThat(poll(queue, 0)).contains(3L);
	}

	/** Guards against late requests that take the places of those on time elsewhere. */
	@Test
	void aLateRequestIsRefusedOnlyWithoutRoomForIt() {
		final FairQueue full = queue(false);
		full.offer(0, request(1, "a", 9));
		assertThat(full.expire(ON_TIME_NANOS)).isEmpty();
		assertThat(full.expire(ON_TIME_NANOS + 1)).hasSize(1);
		final FairQueue free = queue(true);
		free.offer(0, request(1, "a", 9));
		assertThat(free.expire(ON_TIME_NANOS + 1)).isEmpty();
	}

	/** Guards against callers who wait until their deadline and are refused then. */
	@Test
	void aRequestIsRefusedAfterHalfOfItsTimeInTheQueue() {
		final FairQueue queue = queue(true);
		queue.offer(0, request(1, "a", 9));
		assertThat(queue.expire(DEADLINE_NANOS / 2 - 1)).isEmpty();
		assertThat(queue.expire(DEADLINE_NANOS / 2)).hasSize(1);
	}

}
