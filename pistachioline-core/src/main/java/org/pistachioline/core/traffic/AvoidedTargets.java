package org.pistachioline.core.traffic;

import java.util.List;

import org.pistachioline.core.backoff.BackoffReport;

/**
 * Keeps away from the instances that want no requests of this daemon.
 */
public final class AvoidedTargets {

	private final TargetBook targets;

	private final SupplyGuard guard;

	AvoidedTargets(TargetBook targets, SupplyGuard guard) {
		this.targets = targets;
		this.guard = guard;
	}

	/**
	 * Takes word that an instance wants no requests for a while.
	 * @param nowNanos the monotonic time
	 * @param instanceId the instance
	 * @param forNanos for how long
	 * @return whether it wanted requests before
	 */
	public boolean hearBackoff(long nowNanos, String instanceId, long forNanos) {
		return tellWaiting(nowNanos, this.targets.hearBackoff(nowNanos, instanceId, forNanos));
	}

	/**
	 * Takes word that an instance leaves.
	 * @param nowNanos the monotonic time
	 * @param instanceId the instance
	 * @return whether that is news
	 */
	public boolean hearLeaving(long nowNanos, String instanceId) {
		return tellWaiting(nowNanos, this.targets.hearLeaving(nowNanos, instanceId));
	}

	// Where many requests are turned away at once, one look at those who wait is enough.
	private boolean tellWaiting(long nowNanos, boolean news) {
		if (news) {
			this.guard.refuseWaiting(nowNanos);
		}
		return news;
	}

	/**
	 * Describes the instances that want no requests, for operators.
	 * @param nowNanos the monotonic time
	 * @return the instances
	 */
	public List<BackoffReport> reports(long nowNanos) {
		return this.targets.backoffs().reports(nowNanos);
	}

}
