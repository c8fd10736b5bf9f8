package org.pistachioline.core.traffic;

import org.pistachioline.core.error.ErrorKind;

/**
 * Ends requests whose time is up and moves streams off targets that stand still or leave.
 */
final class FlightClock {

	private static final long RETRY_MILLIS = 1_000;

	private final FlightBook flights;

	private final TargetBook targets;

	private final TargetChooser chooser;

	private final TrafficPolicies policies;

	FlightClock(FlightBook flights, TargetBook targets, TargetChooser chooser, TrafficPolicies policies) {
		this.policies = policies;
		this.flights = flights;
		this.targets = targets;
		this.chooser = chooser;
	}

	void onTick(long nowNanos) {
		for (final Flight flight : this.flights.all()) {
			if (nowNanos >= flight.info.totalDeadlineNanos()) {
				this.flights.end(nowNanos, flight,
						flight.bytesSent() ? ErrorKind.DEADLINE_EXCEEDED : ErrorKind.DEADLINE_UNREACHABLE, 0);
			}
			else if (flight.resuming && !flight.bytesSent() && nowNanos >= flight.info.firstTokenDeadlineNanos()) {
				this.flights.end(nowNanos, flight, ErrorKind.DEADLINE_UNREACHABLE, RETRY_MILLIS);
			}
			else {
				shiftIfDue(nowNanos, flight);
			}
		}
	}

	private void shiftIfDue(long nowNanos, Flight flight) {
		final boolean resumable = flight.info.targetKind() == TargetKind.MODEL && flight.info.idempotent();
		if (!resumable || flight.liveAttempt == null || flight.shifting) {
			return;
		}
		final StreamProgress progress = new StreamProgress(flight.attemptRan, flight.progressAtNanos,
				flight.load.progressAtNanos());
		final Long notServingSinceNanos = this.targets.notServingSinceNanos(flight.target.targetId());
		if (!this.policies.shift().isDue(nowNanos, progress, notServingSinceNanos)) {
			return;
		}
		if (this.policies.shift().reportsStalls() && notServingSinceNanos == null && !flight.stallTold) {
			flight.stallTold = true;
			this.flights.act(new TrafficAction.Stalled(flight.info.requestId(), flight.target.targetId()));
		}
		if (flight.usedAttempts() < flight.info.maxAttempts() && this.chooser.hasUntried(flight)
				&& this.policies.retry().mayShift(nowNanos, flight.info)) {
			// The next attempt starts when this one is reported as ended, with the exact
			// count of the tokens that the caller has: never two at once, none lost.
			flight.shifting = true;
			flight.stalled = notServingSinceNanos == null;
			this.flights.act(new TrafficAction.Cancel(flight.liveAttempt));
		}
	}

}
