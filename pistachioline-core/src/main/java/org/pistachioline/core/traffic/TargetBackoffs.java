package org.pistachioline.core.traffic;

import java.util.List;

import org.pistachioline.core.backoff.BackoffReport;

/**
 * Keeps away from the instances that want no requests of this daemon.
 */
public final class TargetBackoffs {

	private final TargetRegistry targets;

	private final DeadlineAdmission deadlineAdmission;

	TargetBackoffs(TargetRegistry targets, DeadlineAdmission guard) {
		this.targets = targets;
		this.deadlineAdmission = guard;
	}

	/**
	 * Takes word that an instance wants no requests for a while.
	 * @param nowNanos the monotonic time
	 * @param instanceId the instance
	 * @param forNanos for how long
	 * @return whether it wanted requests before
	 */
	public boolean onBackoff(long nowNanos, String instanceId, long forNanos) {
		return recheckQueued(nowNanos, this.targets.onBackoff(nowNanos, instanceId, forNanos));
	}

	/**
	 * Takes word that an instance leaves.
	 * @param nowNanos the monotonic time
	 * @param instanceId the instance
	 * @return whether that is news
	 */
	public boolean onLeaving(long nowNanos, String instanceId) {
		return recheckQueued(nowNanos, this.targets.onLeaving(nowNanos, instanceId));
	}

	// Where many requests are turned away at once, one look at those who wait is enough.
	private boolean recheckQueued(long nowNanos, boolean news) {
		if (news) {
			this.deadlineAdmission.recheckQueued(nowNanos);
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
