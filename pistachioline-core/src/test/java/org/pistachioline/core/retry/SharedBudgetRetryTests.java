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

	private static final long SECOND_NANOS = 1_000_000_000L;

	private static final RetryBudget FLEET_BUDGET = new RetryBudget(0.2, 103, 10 * SECOND_NANOS);

	/**
	 * Guards against a retry storm of all daemons together. Six daemons receive 20
	 * requests a second each, and every attempt fails. If each daemon used the whole
	 * budget, they would exceed it several times over and overload the remaining targets.
	 * The budget must hold in every window of ten seconds.
	 */
	@Test
	void allDaemonsTogetherStayWithinTheBudgetInEachWindow() {
		final List<SharedBudgetRetry> daemons = new ArrayList<>();
		for (int i = 0; i < 6; i++) {
			daemons.add(new SharedBudgetRetry(FLEET_BUDGET, () -> 6));
		}
		final int[] retriesBySecond = new int[60];
		for (int second = 0; second < 60; second++) {
			for (int request = 0; request < 120; request++) {
				final SharedBudgetRetry daemon = daemons.get(request % 6);
				final RequestInfo info = info(second * SECOND_NANOS, 9);
				daemon.onArrival(second * SECOND_NANOS, info);
				int attempts = 1;
				while (daemon.afterFailure(second * SECOND_NANOS, info, attempts,
						AttemptOutcome.BROKEN) == RetryDecision.RETRY) {
					attempts++;
					retriesBySecond[second]++;
				}
			}
		}
		for (int from = 0; from + 10 <= 60; from++) {
			int retries = 0;
			for (int second = from; second < from + 10; second++) {
				retries += retriesBySecond[second];
			}
			assertThat(retries).as("retries in the 10 seconds from second " + from)
				.isLessThanOrEqualTo((int) (0.2 * 1_200 + 103));
		}
	}

	@Test
	void aRequestIsSentToNoMoreTargetsThanItsMaximumOfAttempts() {
		final SharedBudgetRetry retry = new SharedBudgetRetry(FLEET_BUDGET, () -> 1);
		assertThat(retry.afterFailure(0, info(0, 2), 1, AttemptOutcome.BROKEN)).isEqualTo(RetryDecision.RETRY);
		assertThat(retry.afterFailure(0, info(0, 2), 2, AttemptOutcome.BROKEN)).isEqualTo(RetryDecision.GIVE_UP);
	}

	@Test
	void aRequestIsNotRetriedAfterItsDeadline() {
		final SharedBudgetRetry retry = new SharedBudgetRetry(FLEET_BUDGET, () -> 1);
		assertThat(retry.afterFailure(100 * SECOND_NANOS, info(0, 2), 1, AttemptOutcome.BROKEN))
			.isEqualTo(RetryDecision.GIVE_UP);
	}

	private static RequestInfo info(long nowNanos, int maxAttempts) {
		return new RequestInfo(1, "shop", TargetKind.MODEL, "pool/small", 100, 50, 0, nowNanos + SECOND_NANOS,
				nowNanos + 6 * SECOND_NANOS, true, ClaimRequirement.NONE, "", List.of(), maxAttempts,
				nowNanos + SECOND_NANOS);
	}

}
