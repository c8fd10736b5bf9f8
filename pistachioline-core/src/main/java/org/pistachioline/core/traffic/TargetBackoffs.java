package org.pistachioline.core.traffic;

import java.util.List;

import org.pistachioline.core.backoff.BackoffReport;

/**
 * Takes instances out of selection while they have asked for a backoff or are shutting
 * down.
 */
public final class TargetBackoffs {

	private final TargetRegistry targets;

	private final DeadlineAdmission deadlineAdmission;

	TargetBackoffs(TargetRegistry targets, DeadlineAdmission deadlineAdmission) {
		this.targets = targets;
		this.deadlineAdmission = deadlineAdmission;
	}

	/**
	 * Records that an instance asked for no requests for some time.
	 * @param nowNanos the monotonic time
	 * @param instanceId the instance
	 * @param forNanos the length of the backoff
	 * @return whether the instance accepted requests before
	 */
	public boolean onBackoff(long nowNanos, String instanceId, long forNanos) {
		return recheckQueued(nowNanos, this.targets.onBackoff(nowNanos, instanceId, forNanos));
	}

	/**
	 * Records that an instance is shutting down.
	 * @param nowNanos the monotonic time
	 * @param instanceId the instance
	 * @return whether this was not known before
	 */
	public boolean onLeaving(long nowNanos, String instanceId) {
		return recheckQueued(nowNanos, this.targets.onLeaving(nowNanos, instanceId));
	}

	// When an instance turns many requests away at once, only the first of them triggers
	// a scan of the queue.
	private boolean recheckQueued(long nowNanos, boolean changed) {
		if (changed) {
			this.deadlineAdmission.recheckQueued(nowNanos);
		}
		return changed;
	}

	/**
	 * Lists the instances that accept no requests at present, for operators.
	 * @param nowNanos the monotonic time
	 * @return the instances
	 */
	public List<BackoffReport> reports(long nowNanos) {
		return this.targets.backoffs().reports(nowNanos);
	}

}
