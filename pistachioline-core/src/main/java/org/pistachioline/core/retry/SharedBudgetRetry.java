package org.pistachioline.core.retry;

import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;

import org.pistachioline.core.traffic.AttemptEnd;
import org.pistachioline.core.traffic.RequestInfo;

/**
 * Retries within a bound that the operators set for all daemons together.
 * <p>
 * Made for a fleet that loses a group every few seconds and may send only a part of its
 * traffic twice. The daemons do not tell each other in time what they spend, so each
 * keeps to its own share: an equal part of the allowed burst, and the allowed ratio of
 * the requests that came to itself. The sum of the shares stays under the bound whatever
 * each does, since a little of both is left unused ({@value #USED_RATIO} is spent): a
 * daemon that has just started does not know yet how many others there are. Every attempt
 * beyond the first counts, also one that the target declines.
 */
public final class SharedBudgetRetry implements RetryPolicy {

	/** The part of a daemon's share that it spends. */
	private static final double USED_RATIO = 0.75;

	private final RetryBudget bound;

	private final IntSupplier daemons;

	private final Map<String, Account> accounts = new HashMap<>();

	/**
	 * Creates the policy.
	 * @param bound the bound for all daemons together
	 * @param daemons tells how many daemons share it
	 */
	public SharedBudgetRetry(RetryBudget bound, IntSupplier daemons) {
		this.bound = bound;
		this.daemons = daemons;
	}

	@Override
	public RetryDecision afterFailure(long nowNanos, RequestInfo info, int attempts, AttemptEnd how) {
		if (attempts >= info.maxAttempts() || nowNanos >= info.totalDeadlineNanos()) {
			return RetryDecision.GIVE_UP;
		}
		return account(nowNanos, info).spend() ? RetryDecision.RETRY : RetryDecision.GIVE_UP;
	}

	@Override
	public boolean mayShift(long nowNanos, RequestInfo info) {
		return account(nowNanos, info).spend();
	}

	@Override
	public void onArrival(long nowNanos, RequestInfo info) {
		account(nowNanos, info).earn(USED_RATIO * this.bound.ratio());
	}

	@Override
	public void onSuccess(long nowNanos) {
		// The budget follows arrivals; what came of them does not matter.
	}

	private Account account(long nowNanos, RequestInfo info) {
		final double most = USED_RATIO * this.bound.burstRequests() / Math.max(1, this.daemons.getAsInt());
		final Account account = this.accounts.computeIfAbsent(serviceOf(info), (name) -> new Account(most, nowNanos));
		account.passTime(nowNanos, most);
		return account;
	}

	// All models of a service share the service's budget.
	private static String serviceOf(RequestInfo info) {
		final int slash = info.name().indexOf('/');
		return (slash >= 0) ? info.name().substring(0, slash) : info.name();
	}

	/**
	 * One service's budget. The burst comes back over two windows: a whole burst in one
	 * window and another in the next would be twice the bound in a window between them.
	 */
	private final class Account {

		private double left;

		private long refilledAtNanos;

		Account(double left, long nowNanos) {
			this.left = left;
			this.refilledAtNanos = nowNanos;
		}

		void passTime(long nowNanos, double most) {
			final double windows = (double) (nowNanos - this.refilledAtNanos)
					/ SharedBudgetRetry.this.bound.windowNanos();
			this.refilledAtNanos = nowNanos;
			this.left = Math.min(most, this.left + windows * most / 4);
		}

		void earn(double amount) {
			this.left += amount;
		}

		boolean spend() {
			if (this.left < 1) {
				return false;
			}
			this.left -= 1;
			return true;
		}

	}

}
