package org.pistachioline.replay.simulation;

import org.pistachioline.core.retry.RetryDecision;
import org.pistachioline.core.retry.RetryPolicy;
import org.pistachioline.core.traffic.AttemptOutcome;
import org.pistachioline.core.traffic.RequestInfo;

/**
 * Retries until the deadline; the baseline without a budget.
 */
final class UnlimitedRetry implements RetryPolicy {

	@Override
	public RetryDecision afterFailure(long nowNanos, RequestInfo info, int attempts, AttemptOutcome how) {
		return (nowNanos < info.totalDeadlineNanos()) ? RetryDecision.RETRY : RetryDecision.GIVE_UP;
	}

	@Override
	public boolean tryAcquireToContinue(long nowNanos, RequestInfo info) {
		return true;
	}

	@Override
	public void onSuccess(long nowNanos) {
		// There is no budget to earn.
	}

}
