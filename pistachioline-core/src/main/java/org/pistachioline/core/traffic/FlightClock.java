package org.pistachioline.core.traffic;

import org.pistachioline.core.error.ErrorKind;

/**
 * Ends requests whose time is up and moves streams off targets that stand still or leave.
 */
final class FlightClock {

	private static final long RETRY_MILLIS = 1_000;

	/** Bounds the prefill that is paid again when group after group drains. */
	private static final int MOST_ATTEMPTS_WITH_SHIFTS = 6;

	private final FlightBook flights;

	private final TargetBook targets;

	private final TargetChooser chooser;

	FlightClock(FlightBook flights, TargetBook targets, TargetChooser chooser) {
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
		if (flight.liveAttempt == null
				|| !ShiftRules.isDue(nowNanos, flight, this.targets.notServingSinceNanos(flight.target.targetId()))) {
			return;
		}
		if (flight.attempts < MOST_ATTEMPTS_WITH_SHIFTS && this.chooser.hasUntried(flight)) {
			// The next attempt starts when this one is reported as ended, with the exact
			// count of the tokens that the caller has: never two at once, none lost.
			flight.shifting = true;
			this.flights.act(new TrafficAction.Cancel(flight.liveAttempt));
		}
	}

}
