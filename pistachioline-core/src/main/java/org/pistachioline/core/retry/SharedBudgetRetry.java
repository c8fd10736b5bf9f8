package org.pistachioline.core.retry;

import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;

import org.pistachioline.core.traffic.AttemptOutcome;
import org.pistachioline.core.traffic.RequestInfo;

/**
 * Retries within a bound that the operators set for all daemons together.
 * <p>
 * Made for a fleet that loses a group every few seconds and may send only a part of its
 * traffic twice. The daemons do not tell each other in time what they spend, so each
 * keeps to its own share: an equal part of the allowed burst, and the allowed ratio of
 * the requests that came to itself. The sum of the shares stays under the bound whatever
 * each does, since a little of both is left unused ({@value #SPENDABLE_RATIO} is spent):
 * a daemon that has just started does not know yet how many others there are. Every
 * attempt beyond the first counts, also one that the target declines.
 */
public final class SharedBudgetRetry implements RetryPolicy {

	/** The part of a daemon's share that it spends. */
	private static final double SPENDABLE_RATIO = 0.75;

	private final RetryBudget fleetBudget;

	private final IntSupplier daemonCount;

	private final Map<String, ServiceBudget> budgetsByService = new HashMap<>();

	/**
	 * Creates the policy.
	 * @param bound the bound for all daemons together
	 * @param daemons tells how many daemons share it
	 */
	public SharedBudgetRetry(RetryBudget bound, IntSupplier daemons) {
		this.fleetBudget = bound;
		this.daemonCount = daemons;
	}

	@Override
	public RetryDecision afterFailure(long nowNanos, RequestInfo info, int attempts, AttemptOutcome how) {
		if (attempts >= info.maxAttempts() || nowNanos >= info.totalDeadlineNanos()) {
			return RetryDecision.GIVE_UP;
		}
		return budgetOf(nowNanos, info).tryAcquire() ? RetryDecision.RETRY : RetryDecision.GIVE_UP;
	}

	@Override
	public boolean tryAcquireForMigration(long nowNanos, RequestInfo info) {
		return budgetOf(nowNanos, info).tryAcquire();
	}

	@Override
	public void onArrival(long nowNanos, RequestInfo info) {
		budgetOf(nowNanos, info).add(SPENDABLE_RATIO * this.fleetBudget.ratio());
	}

	@Override
	public void onSuccess(long nowNanos) {
		// The budget follows arrivals; what came of them does not matter.
	}

	private ServiceBudget budgetOf(long nowNanos, RequestInfo info) {
		final double most = SPENDABLE_RATIO * this.fleetBudget.burstAttempts()
				/ Math.max(1, this.daemonCount.getAsInt());
		final ServiceBudget account = this.budgetsByService.computeIfAbsent(serviceOf(info),
				(name) -> new ServiceBudget(most, nowNanos));
		account.refill(nowNanos, most);
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
	private final class ServiceBudget {

		private double availableAttempts;

		private long refilledAtNanos;

		ServiceBudget(double left, long nowNanos) {
			this.availableAttempts = left;
			this.refilledAtNanos = nowNanos;
		}

		void refill(long nowNanos, double most) {
			final double windows = (double) (nowNanos - this.refilledAtNanos)
					/ SharedBudgetRetry.this.fleetBudget.windowNanos();
			this.refilledAtNanos = nowNanos;
			this.availableAttempts = Math.min(most, this.availableAttempts + windows * most / 4);
		}

		void add(double amount) {
			this.availableAttempts += amount;
		}

		boolean tryAcquire() {
			if (this.availableAttempts < 1) {
				return false;
			}
			this.availableAttempts -= 1;
			return true;
		}

	}

}
