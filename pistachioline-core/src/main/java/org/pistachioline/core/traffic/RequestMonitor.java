package org.pistachioline.core.traffic;

import org.pistachioline.core.error.ErrorKind;

/**
 * Ends requests whose time is up and moves streams off targets that stand still or leave.
 */
final class RequestMonitor {

	private static final long RETRY_AFTER_MILLIS = 1_000;

	private final ActiveRequests activeRequests;

	private final TargetRegistry targets;

	private final TargetSelector selector;

	private final TrafficPolicies policies;

	RequestMonitor(ActiveRequests flights, TargetRegistry targets, TargetSelector chooser, TrafficPolicies policies) {
		this.policies = policies;
		this.activeRequests = flights;
		this.targets = targets;
		this.selector = chooser;
	}

	void onTick(long nowNanos) {
		for (final ActiveRequest flight : this.activeRequests.all()) {
			if (nowNanos >= flight.info.totalDeadlineNanos()) {
				this.activeRequests.fail(nowNanos, flight,
						flight.mayHaveSentBytes() ? ErrorKind.DEADLINE_EXCEEDED : ErrorKind.DEADLINE_UNREACHABLE, 0);
			}
			else if (flight.awaitingRedispatch && !flight.mayHaveSentBytes()
					&& nowNanos >= flight.info.firstTokenDeadlineNanos()) {
				this.activeRequests.fail(nowNanos, flight, ErrorKind.DEADLINE_UNREACHABLE, RETRY_AFTER_MILLIS);
			}
			else {
				migrateIfDue(nowNanos, flight);
			}
		}
	}

	private void migrateIfDue(long nowNanos, ActiveRequest flight) {
		final boolean resumable = flight.info.targetKind() == TargetKind.MODEL && flight.info.idempotent();
		if (!resumable || flight.liveAttempt == null || flight.migrating) {
			return;
		}
		final StreamProgress progress = new StreamProgress(flight.attemptHasOutput, flight.progressAtNanos,
				flight.load.progressAtNanos());
		final Long notServingSinceNanos = this.targets.notServingSinceNanos(flight.target.targetId());
		if (!this.policies.migration().shouldMigrate(nowNanos, progress, notServingSinceNanos)) {
			return;
		}
		if (this.policies.migration().reportsStalls() && notServingSinceNanos == null && !flight.stallReported) {
			flight.stallReported = true;
			this.activeRequests
				.addAction(new TrafficAction.ReportStall(flight.info.requestId(), flight.target.targetId()));
		}
		if (flight.usedAttempts() < flight.info.maxAttempts() && this.selector.hasUntriedTarget(flight)
				&& this.policies.retry().tryAcquireForMigration(nowNanos, flight.info)) {
			// The next attempt starts when this one is reported as ended, with the exact
			// count of the tokens that the caller has: never two at once, none lost.
			flight.migrating = true;
			flight.targetStalled = notServingSinceNanos == null;
			this.activeRequests.addAction(new TrafficAction.Cancel(flight.liveAttempt));
		}
	}

}
