package org.pistachioline.core.traffic;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The targets that a request was sent to, and which of them may receive it again.
 * <p>
 * A target that failed the request never does. One that ran nothing, or was left because
 * it was silent or draining, is no worse than before and may, after a delay that keeps a
 * full target from being asked over and over. Only a stream that its caller has begun to
 * receive returns to a target.
 */
final class TriedTargets {

	private static final long MIN_RETURN_DELAY_NANOS = 250_000_000L;

	private static final int MAX_DOUBLINGS = 3;

	private static final Trial NOT_RETURNABLE = new Trial(0, false, 0);

	private final Map<String, Trial> trials = new HashMap<>();

	private final Set<String> ranIds = new HashSet<>();

	private int returnableTrials;

	private Trial trialBeforeStart;

	private boolean ranBeforeStart;

	/**
	 * Records that the request is sent to a target.
	 * @param targetId the target
	 */
	void onStart(String targetId) {
		this.trialBeforeStart = this.trials.put(targetId, NOT_RETURNABLE);
		this.ranBeforeStart = !this.ranIds.add(targetId);
	}

	/**
	 * Records that an attempt was not sent after all.
	 * @param targetId the target
	 */
	void onWithheld(String targetId) {
		forgetRun(targetId);
		if (this.trialBeforeStart != null) {
			this.trials.put(targetId, this.trialBeforeStart);
		}
		else {
			this.trials.remove(targetId);
		}
	}

	/**
	 * Records the end of an attempt.
	 * @param nowNanos the monotonic time
	 * @param targetId the target
	 * @param outcome how the attempt ended
	 */
	void onEnd(long nowNanos, String targetId, AttemptOutcome outcome) {
		final boolean nothingRan = outcome == AttemptOutcome.NOT_CONNECTED || outcome == AttemptOutcome.DECLINED;
		if (nothingRan) {
			forgetRun(targetId);
		}
		if (nothingRan || outcome == AttemptOutcome.CANCELLED) {
			final long delayNanos = MIN_RETURN_DELAY_NANOS << Math.min(this.returnableTrials, MAX_DOUBLINGS);
			this.returnableTrials++;
			this.trials.put(targetId, new Trial(nowNanos, true, nowNanos + delayNanos));
		}
	}

	// What an earlier attempt ran at the target still counts.
	private void forgetRun(String targetId) {
		if (!this.ranBeforeStart) {
			this.ranIds.remove(targetId);
		}
	}

	/**
	 * Returns the targets that the request was sent to.
	 * @return a live view of their ids
	 */
	Set<String> ids() {
		return this.trials.keySet();
	}

	/**
	 * Returns whether the request may be sent to a target at some time.
	 * @param targetId the target
	 * @param maxTargets how many targets may run it
	 * @return false if it failed there, or if that would be one target too many
	 */
	boolean allows(String targetId, int maxTargets) {
		final Trial trial = this.trials.get(targetId);
		final boolean withinLimit = this.ranIds.contains(targetId) || this.ranIds.size() < maxTargets;
		return withinLimit && (trial == null || trial.returnable());
	}

	/**
	 * Returns whether the request may be sent now to a target that it is allowed.
	 * @param nowNanos the monotonic time
	 * @param targetId the target
	 * @param outputAtNanos when the target last delivered output to any request
	 * @return false while it has to wait before it returns there
	 */
	boolean isDue(long nowNanos, String targetId, long outputAtNanos) {
		final Trial trial = this.trials.get(targetId);
		return trial == null || nowNanos - trial.returnAtNanos() >= 0 || hasRecovered(targetId, outputAtNanos);
	}

	/**
	 * Returns whether a target has delivered output since the request left it.
	 * @param targetId the target
	 * @param outputAtNanos when the target last delivered output to any request
	 * @return whether it has; false if the request was never sent there
	 */
	boolean hasRecovered(String targetId, long outputAtNanos) {
		final Trial trial = this.trials.get(targetId);
		return trial != null && trial.returnable() && outputAtNanos - trial.endedAtNanos() > 0;
	}

	/**
	 * The last attempt at a target.
	 *
	 * @param endedAtNanos when it ended, if the request may return
	 * @param returnable whether the request may return
	 * @param returnAtNanos from when on it may
	 */
	private record Trial(long endedAtNanos, boolean returnable, long returnAtNanos) {

	}

}
