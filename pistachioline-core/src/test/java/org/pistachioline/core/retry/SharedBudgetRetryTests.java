package org.pistachioline.core.retry;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import org.pistachioline.core.traffic.AttemptOutcome;
import org.pistachioline.core.traffic.ClaimRequirement;
import org.pistachioline.core.traffic.RequestInfo;
import org.pistachioline.core.traffic.TargetKind;

import static org.assertj.core.api.Assertions.assertThat;

class SharedBudgetRetryTests {

	private static final long SECOND = 1_000_000_000L;

	private static final RetryBudget BOUND = new RetryBudget(0.2, 103, 10 * SECOND);

	/**
	 * Six daemons take 20 requests a second each, and every attempt fails. If each
	 * retried as though it were alone, all together would send several times what the
	 * operators allow, and the targets that still work would fail too. The bound holds
	 * for any ten seconds.
	 */
	@Test
	void allDaemonsTogetherStayUnderTheBoundInEachWindow() {
		final List<SharedBudgetRetry> daemons = new ArrayList<>();
		for (int i = 0; i < 6; i++) {
			daemons.add(new SharedBudgetRetry(BOUND, () -> 6));
		}
		final int[] retriesAt = new int[60];
		for (int second = 0; second < 60; second++) {
			for (int request = 0; request < 120; request++) {
				final SharedBudgetRetry daemon = daemons.get(request % 6);
				final RequestInfo info = info(second * SECOND, 9);
				daemon.onArrival(second * SECOND, info);
				int attempts = 1;
				while (daemon.afterFailure(second * SECOND, info, attempts,
						AttemptOutcome.BROKEN) == RetryDecision.RETRY) {
					attempts++;
					retriesAt[second]++;
				}
			}
		}
		for (int from = 0; from + 10 <= 60; from++) {
			int retries = 0;
			for (int second = from; second < from + 10; second++) {
				retries += retriesAt[second];
			}
			assertThat(retries).as("from second " + from).isLessThanOrEqualTo((int) (0.2 * 1_200 + 103));
		}
	}

	@Test
	void oneRequestIsSentToNoMoreTargetsThanItsRouteAllows() {
		final SharedBudgetRetry retry = new SharedBudgetRetry(BOUND, () -> 1);
		assertThat(retry.afterFailure(0, info(0, 2), 1, AttemptOutcome.BROKEN)).isEqualTo(RetryDecision.RETRY);
		assertThat(retry.afterFailure(0, info(0, 2), 2, AttemptOutcome.BROKEN)).isEqualTo(RetryDecision.GIVE_UP);
	}

	@Test
	void nothingIsSentAgainAfterTheDeadline() {
		final SharedBudgetRetry retry = new SharedBudgetRetry(BOUND, () -> 1);
		assertThat(retry.afterFailure(100 * SECOND, info(0, 2), 1, AttemptOutcome.BROKEN))
			.isEqualTo(RetryDecision.GIVE_UP);
	}

	private static RequestInfo info(long nowNanos, int maxAttempts) {
		return new RequestInfo(1, "shop", TargetKind.MODEL, "pool/small", 100, 50, 0, nowNanos + SECOND,
				nowNanos + 6 * SECOND, true, ClaimRequirement.NONE, "", List.of(), maxAttempts, nowNanos + SECOND);
	}

}
