package org.pistachioline.core.traffic;

import java.util.Collections;
import java.util.IdentityHashMap;
import java.util.Set;

import org.pistachioline.core.error.ErrorKind;
import org.pistachioline.core.placement.TargetLoad;

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
	 * Leaves a pause of this daemon out of the silence of all running attempts.
	 * @param nowNanos the monotonic time at its end
	 * @param pauseNanos its length
	 */
	void onPause(long nowNanos, long pauseNanos) {
		if (pauseNanos == 0) {
			return;
		}
		final Set<TargetLoad> loads = Collections.newSetFromMap(new IdentityHashMap<>());
		for (final ActiveRequest request : this.activeRequests.all()) {
			if (request.liveAttempt != null) {
				request.progressAtNanos = Math.min(nowNanos, request.progressAtNanos + pauseNanos);
				loads.add(request.load);
			}
		}
		loads.forEach((load) -> load.skipPause(nowNanos, pauseNanos));
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
			request.migrations++;
			request.targetStalled = notServingSinceNanos == null;
			this.activeRequests.addAction(new TrafficAction.Cancel(request.liveAttempt));
		}
	}

}
