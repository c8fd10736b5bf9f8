package org.pistachioline.core.retry;

import org.pistachioline.core.traffic.AttemptOutcome;
import org.pistachioline.core.traffic.RequestInfo;

/**
 * Retries within a budget that is replenished by successful requests.
 * <p>
 * The budget guards against retry storms: if every failure were retried during an outage
 * under load, the remaining targets would receive twice the load and fail as well. Each
 * success earns {@value #EARNED_RETRIES_PER_SUCCESS} retries, so retries add at most 10 %
 * to the traffic in the long run. The budget can save up {@value #MAX_SAVED_RETRIES}
 * retries, about as many as one daemon has streams on one large group, so that all of
 * these can be resumed when the group crashes; with a maximum of 10, two thirds of them
 * were given up. The limit of attempts bounds how much of the budget a single request may
 * consume; a stream that its caller has begun to receive may consume more, as it waits
 * longer before each further attempt. Callers are given a retry delay, so that their own
 * retries do not multiply those of the daemon.
 */
public final class BudgetedRetry implements RetryPolicy {

	private static final double EARNED_RETRIES_PER_SUCCESS = 0.1;

	private static final double MAX_SAVED_RETRIES = 32;

	private static final int MAX_ATTEMPTS = 3;

	private double availableRetries = MAX_SAVED_RETRIES;

	@Override
	public RetryDecision afterFailure(long nowNanos, RequestInfo info, int attempts, AttemptOutcome outcome) {
		if (attempts >= MAX_ATTEMPTS || nowNanos >= info.totalDeadlineNanos() || this.availableRetries < 1) {
			return RetryDecision.GIVE_UP;
		}
		this.availableRetries -= 1;
		return RetryDecision.RETRY;
	}

	@Override
	public boolean tryAcquireToContinue(long nowNanos, RequestInfo info) {
		if (this.availableRetries < 1) {
			return false;
		}
		this.availableRetries -= 1;
		return true;
	}

	@Override
	public void onSuccess(long nowNanos) {
		this.availableRetries = Math.min(MAX_SAVED_RETRIES, this.availableRetries + EARNED_RETRIES_PER_SUCCESS);
	}

}
