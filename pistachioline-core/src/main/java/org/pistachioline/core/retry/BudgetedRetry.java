package org.pistachioline.core.retry;

import org.pistachioline.core.traffic.AttemptOutcome;
import org.pistachioline.core.traffic.RequestInfo;

/**
 * Retries within a budget that successes earn.
 * <p>
 * Made for an outage at load: if every failure is tried again, the targets that still
 * work get twice the work and fail too. A tenth of a retry is earned by each success, so
 * retries add at most 10 % to the traffic in the long run. As many may be saved up as one
 * daemon has streams on one large group, so that all of them are resumed when it dies on
 * an otherwise quiet day; with ten saved, two thirds of them were given up. An attempt
 * count bounds what one request may take of it, and callers are told when to come back,
 * so that their own retries do not multiply ours.
 */
public final class BudgetedRetry implements RetryPolicy {

	private static final double EARNED_RETRIES_PER_SUCCESS = 0.1;

	private static final double MAX_SAVED_RETRIES = 32;

	private static final int MAX_ATTEMPTS = 3;

	private double availableRetries = MAX_SAVED_RETRIES;

	@Override
	public RetryDecision afterFailure(long nowNanos, RequestInfo info, int attempts, AttemptOutcome how) {
		if (attempts >= MAX_ATTEMPTS || nowNanos >= info.totalDeadlineNanos() || this.availableRetries < 1) {
			return RetryDecision.GIVE_UP;
		}
		this.availableRetries -= 1;
		return RetryDecision.RETRY;
	}

	@Override
	public void onSuccess(long nowNanos) {
		this.availableRetries = Math.min(MAX_SAVED_RETRIES, this.availableRetries + EARNED_RETRIES_PER_SUCCESS);
	}

}
