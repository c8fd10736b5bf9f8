package org.pistachioline.core.traffic;

import java.util.List;
import java.util.OptionalDouble;

import org.pistachioline.core.limit.AdvertisedLimit;
import org.pistachioline.core.limit.LimitReport;

/**
 * Applies the request rate limits that targets state in their responses.
 */
public final class TargetLimits {

	private final TargetRegistry targets;

	private final DeadlineAdmission deadlineAdmission;

	TargetLimits(TargetRegistry targets, DeadlineAdmission deadlineAdmission) {
		this.targets = targets;
		this.deadlineAdmission = deadlineAdmission;
	}

	/**
	 * Records the rate limit that an instance's response states. The limit applies to the
	 * requests of all daemons together.
	 * @param nowNanos the monotonic time
	 * @param sentAtNanos when the request of this response was sent
	 * @param instanceId the instance
	 * @param requestsPerSecond the stated limit; empty if the response states none
	 * @return whether the known limit changed
	 */
	public boolean onResponse(long nowNanos, long sentAtNanos, String instanceId, OptionalDouble requestsPerSecond) {
		final boolean changed = this.targets.onLimit(nowNanos, sentAtNanos, instanceId, requestsPerSecond);
		if (changed) {
			this.deadlineAdmission.recheckQueued(nowNanos);
		}
		return changed;
	}

	/**
	 * Merges the limits that another daemon learned from instances.
	 * @param nowNanos the monotonic time
	 * @param reported the limits
	 * @return the limits that differ from what was known
	 */
	public List<AdvertisedLimit> onPeerLimits(long nowNanos, List<AdvertisedLimit> reported) {
		final List<AdvertisedLimit> changed = this.targets.onPeerLimits(nowNanos, reported);
		if (!changed.isEmpty()) {
			this.deadlineAdmission.recheckQueued(nowNanos);
		}
		return changed;
	}

	/**
	 * Returns the limits to be sent to other daemons.
	 * @param nowNanos the monotonic time
	 * @return the last statement of each instance, the newest first
	 */
	public List<AdvertisedLimit> latestLimits(long nowNanos) {
		return this.targets.limits().latestLimits(nowNanos);
	}

	/**
	 * Lists the limits in force, for operators.
	 * @param nowNanos the monotonic time
	 * @return the limits
	 */
	public List<LimitReport> reports(long nowNanos) {
		return this.targets.limits().reports(nowNanos);
	}

}
