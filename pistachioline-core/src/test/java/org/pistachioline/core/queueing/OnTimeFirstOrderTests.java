package org.pistachioline.core.queueing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import org.pistachioline.core.traffic.ClaimRequirement;
import org.pistachioline.core.traffic.RequestInfo;
import org.pistachioline.core.traffic.TargetKind;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Load: half of the groups are gone, and for some seconds a fifth more comes than is
 * served.
 */
class OnTimeFirstOrderTests {

	private static final long MILLI_NANOS = 1_000_000L;

	private static final long ON_TIME_NANOS = 300 * MILLI_NANOS;

	private static final long DEADLINE_NANOS = 2_000 * MILLI_NANOS;

	private static final int SECONDS = 4;

	private static final int ARRIVALS_A_SECOND = 120;

	private static final int SERVED_A_SECOND = 100;

	private long nextId = 1;

	private RequestInfo request(long nowNanos) {
		return new RequestInfo(this.nextId++, "shop", TargetKind.MODEL, "pool/small", 100, 50, 0,
				nowNanos + DEADLINE_NANOS, nowNanos + 2 * DEADLINE_NANOS, true, ClaimRequirement.NONE, "", List.of(), 2,
				nowNanos + ON_TIME_NANOS);
	}

	private int servedOnTime(QueueOrder order) {
		final FairQueue queue = new FairQueue(1_000, order);
		int onTime = 0;
		for (int milli = 0; milli < SECONDS * 1_000; milli++) {
			final long nowNanos = milli * MILLI_NANOS;
			if (milli * ARRIVALS_A_SECOND / 1_000 != (milli + 1) * ARRIVALS_A_SECOND / 1_000) {
				assertThat(queue.offer(nowNanos, request(nowNanos))).isEmpty();
			}
			if (milli % (1_000 / SERVED_A_SECOND) == 0) {
				final Optional<RequestInfo> next = queue.poll(nowNanos, (info) -> 1);
				onTime += next.filter((info) -> nowNanos <= info.softDeadlineNanos()).isPresent() ? 1 : 0;
			}
		}
		return onTime;
	}

	/**
	 * More comes than is served. In the order of deadlines everybody waits a little
	 * longer than the one before, and after two seconds everybody is late.
	 */
	@Test
	void mostAreServedOnTimeThoughMoreComesThanIsServed() {
		final int served = SECONDS * SERVED_A_SECOND;
		assertThat(servedOnTime(new OnTimeFirstOrder())).isGreaterThan(served * 9 / 10);
		assertThat(servedOnTime(new DeadlineOrder())).isLessThan(served * 6 / 10);
	}

	@Test
	void thoseWhoAreLateGoByTheirDeadlineWhenNobodyElseWaits() {
		final FairQueue queue = new FairQueue(1_000, new OnTimeFirstOrder());
		final List<RequestInfo> offered = new ArrayList<>();
		for (int i = 0; i < 3; i++) {
			offered.add(request(i * MILLI_NANOS));
			queue.offer(i * MILLI_NANOS, offered.get(i));
		}
		final long lateNanos = 2 * ON_TIME_NANOS;
		for (final RequestInfo expected : offered) {
			assertThat(queue.poll(lateNanos, (info) -> 1)).contains(expected);
		}
	}

}
