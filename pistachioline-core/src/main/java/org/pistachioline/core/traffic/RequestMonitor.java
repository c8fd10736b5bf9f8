package org.pistachioline.core.traffic;

import org.pistachioline.core.error.ErrorKind;

/**
 * Fails requests whose deadline has passed and migrates streams away from targets that
 * have stalled or no longer serve.
 */
final class RequestMonitor {

	private static final long RETRY_AFTER_MILLIS = 1_000;

	private final ActiveRequests activeRequests;

	private final TargetRegistry targets;

	private final TargetSelector selector;

	private final TrafficPolicies policies;

	RequestMonitor(ActiveRequests activeRequests, TargetRegistry targets, TargetSelector selector,
			TrafficPolicies policies) {
		this.policies = policies;
		this.activeRequests = activeRequests;
		this.targets = targets;
		this.selector = selector;
	}

	void onTick(long nowNanos) {
		for (final ActiveRequest request : this.activeRequests.all()) {
			if (nowNanos >= request.info.totalDeadlineNanos()) {
				this.activeRequests.fail(nowNanos, request,
						request.mayHaveSentBytes() ? ErrorKind.DEADLINE_EXCEEDED : ErrorKind.DEADLINE_UNREACHABLE, 0);
			}
			else if (request.awaitingRedispatch && !request.mayHaveSentBytes()
					&& nowNanos >= request.info.firstTokenDeadlineNanos()) {
				this.activeRequests.fail(nowNanos, request, ErrorKind.DEADLINE_UNREACHABLE, RETRY_AFTER_MILLIS);
			}
			else {
				migrateIfDue(nowNanos, request);
			}
		}
	}

	/**
	 * Restarts the measurement of silence for all running attempts.
	 * @param nowNanos the monotonic time
	 */
	void onResume(long nowNanos) {
		for (final ActiveRequest request : this.activeRequests.all()) {
			if (request.liveAttempt != null) {
				request.progressAtNanos = nowNanos;
				request.load.restartStallTimer(nowNanos);
			}
		}
	}

	private void migrateIfDue(long nowNanos, ActiveRequest request) {
		final boolean resumable = request.info.targetKind() == TargetKind.MODEL && request.info.idempotent();
		if (!resumable || request.liveAttempt == null || request.migrating) {
			return;
		}
		final StreamProgress progress = new StreamProgress(request.attemptHasOutput, request.progressAtNanos,
				request.load.progressAtNanos());
		final Long notServingSinceNanos = this.targets.notServingSinceNanos(request.target.targetId());
		if (!this.policies.migration().shouldMigrate(nowNanos, progress, notServingSinceNanos)) {
			return;
		}
		if (this.policies.migration().reportsStalls() && notServingSinceNanos == null && !request.stallReported) {
			request.stallReported = true;
			this.activeRequests
				.addAction(new TrafficAction.ReportStall(request.info.requestId(), request.target.targetId()));
		}
		if (this.selector.canLeaveTarget(nowNanos, request)
				&& this.policies.retry().tryAcquireForMigration(nowNanos, request.info)) {
			// The next attempt starts only after this one is reported as ended, with the
			// exact number of tokens that the caller received. So no two attempts run at
			// once, and no token is lost or repeated.
			request.migrating = true;
			request.targetStalled = notServingSinceNanos == null;
			this.activeRequests.addAction(new TrafficAction.Cancel(request.liveAttempt));
		}
	}

}
