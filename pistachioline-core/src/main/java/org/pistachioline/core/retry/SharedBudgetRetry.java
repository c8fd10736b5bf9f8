package org.pistachioline.core.retry;

import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;

import org.pistachioline.core.traffic.AttemptOutcome;
import org.pistachioline.core.traffic.RequestInfo;

/**
 * Retries within a budget that operators configure for all daemons together.
 * <p>
 * Intended for fleets that lose a group every few seconds and may repeat only a limited
 * part of their traffic. Daemons cannot exchange their consumption fast enough, so each
 * one limits itself to its share: an equal part of the allowed burst, and the allowed
 * ratio of the requests that arrived at this daemon. Each daemon uses only
 * {@value #SPENDABLE_RATIO} of its share, which keeps the sum within the budget even
 * while a daemon that has just started does not know yet how many others there are. Every
 * attempt beyond the first counts, including attempts that the target declines.
 */
public final class SharedBudgetRetry implements RetryPolicy {

	/**
	 * One attempt in this many of the burst is left to requests that have just failed.
	 * Streams that wait to be continued would otherwise take each attempt that is earned.
	 */
	private static final double RESERVE_DIVISOR = 4;

	/** The fraction of its share that a daemon may use. */
	private static final double SPENDABLE_RATIO = 0.75;

	private final RetryBudget fleetBudget;

	private final IntSupplier daemonCount;

	private final Map<String, ServiceBudget> budgetsByService = new HashMap<>();

	/**
	 * Creates the policy.
	 * @param fleetBudget the budget of all daemons together
	 * @param daemonCount supplies the number of daemons that share the budget
	 */
	public SharedBudgetRetry(RetryBudget fleetBudget, IntSupplier daemonCount) {
		this.fleetBudget = fleetBudget;
		this.daemonCount = daemonCount;
	}

	@Override
	public RetryDecision afterFailure(long nowNanos, RequestInfo info, int attempts, AttemptOutcome outcome) {
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
	public boolean tryAcquireToContinue(long nowNanos, RequestInfo info) {
		return budgetOf(nowNanos, info).tryAcquireBeyondReserve();
	}

	@Override
	public void onArrival(long nowNanos, RequestInfo info) {
		budgetOf(nowNanos, info).add(SPENDABLE_RATIO * this.fleetBudget.ratio());
	}

	@Override
	public void onSuccess(long nowNanos) {
		// The budget depends on arrivals only, whatever their outcome.
	}

	private ServiceBudget budgetOf(long nowNanos, RequestInfo info) {
		final double maxAttempts = SPENDABLE_RATIO * this.fleetBudget.burstAttempts()
				/ Math.max(1, this.daemonCount.getAsInt());
		final ServiceBudget budget = this.budgetsByService.computeIfAbsent(serviceOf(info),
				(name) -> new ServiceBudget(maxAttempts, nowNanos));
		budget.refill(nowNanos, maxAttempts);
		return budget;
	}

	// All models of a service share the service's budget.
	private static String serviceOf(RequestInfo info) {
		final int slash = info.name().indexOf('/');
		return (slash >= 0) ? info.name().substring(0, slash) : info.name();
	}

	/**
	 * The budget of one service. The burst is refilled at a quarter per window: if a
	 * whole burst were used in one window and another in the next, a window that overlaps
	 * both would contain twice the allowed burst.
	 */
	private final class ServiceBudget {

		private double availableAttempts;

		private long refilledAtNanos;

		private double maxAttempts;

		ServiceBudget(double availableAttempts, long nowNanos) {
			this.availableAttempts = availableAttempts;
			this.maxAttempts = availableAttempts;
			this.refilledAtNanos = nowNanos;
		}

		void refill(long nowNanos, double newMaxAttempts) {
			final double windows = (double) (nowNanos - this.refilledAtNanos)
					/ SharedBudgetRetry.this.fleetBudget.windowNanos();
			this.refilledAtNanos = nowNanos;
			this.maxAttempts = newMaxAttempts;
			this.availableAttempts = Math.min(newMaxAttempts, this.availableAttempts + windows * newMaxAttempts / 4);
		}

		void add(double attempts) {
			this.availableAttempts += attempts;
		}

		boolean tryAcquireBeyondReserve() {
			return this.availableAttempts >= 1 + this.maxAttempts / RESERVE_DIVISOR && tryAcquire();
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
