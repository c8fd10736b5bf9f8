package org.pistachioline.core.traffic;

import java.util.List;
import java.util.OptionalDouble;

import org.pistachioline.core.limit.AdvertisedLimit;
import org.pistachioline.core.limit.LimitReport;

/**
 * Keeps to the limits that targets name.
 */
public final class TargetLimits {

	private final TargetRegistry targets;

	private final DeadlineAdmission deadlineAdmission;

	TargetLimits(TargetRegistry targets, DeadlineAdmission guard) {
		this.targets = targets;
		this.deadlineAdmission = guard;
	}

	/**
	 * Takes what an instance's answer said of the requests that it takes from all
	 * daemons.
	 * @param nowNanos the monotonic time
	 * @param sentAtNanos when the answer's request was sent
	 * @param instanceId the instance
	 * @param requestsPerSecond the limit that it names; empty where it names none
	 * @return whether that changes anything
	 */
	public boolean onResponse(long nowNanos, long sentAtNanos, String instanceId, OptionalDouble requestsPerSecond) {
		final boolean changed = this.targets.onLimit(nowNanos, sentAtNanos, instanceId, requestsPerSecond);
		if (changed) {
			this.deadlineAdmission.recheckQueued(nowNanos);
		}
		return changed;
	}

	/**
	 * Takes what another daemon told of instances' limits.
	 * @param nowNanos the monotonic time
	 * @param stated what instances said
	 * @return those that change anything
	 */
	public List<AdvertisedLimit> onPeerLimits(long nowNanos, List<AdvertisedLimit> stated) {
		final List<AdvertisedLimit> changed = this.targets.onPeerLimits(nowNanos, stated);
		if (!changed.isEmpty()) {
			this.deadlineAdmission.recheckQueued(nowNanos);
		}
		return changed;
	}

	/**
	 * Returns what other daemons are to be told.
	 * @param nowNanos the monotonic time
	 * @return what instances said last, the newest first
	 */
	public List<AdvertisedLimit> latestLimits(long nowNanos) {
		return this.targets.limits().latestLimits(nowNanos);
	}

	/**
	 * Describes the limits that hold, for operators.
	 * @param nowNanos the monotonic time
	 * @return the limits
	 */
	public List<LimitReport> reports(long nowNanos) {
		return this.targets.limits().reports(nowNanos);
	}

}
