package org.pistachioline.core.traffic;

import org.pistachioline.core.error.ErrorKind;
import org.pistachioline.core.retry.RetryDecision;

/**
 * Decides what becomes of a request whose attempt has ended: it is done, goes on at
 * another target, or is given up.
 */
final class AttemptOutcomes {

	private static final long RETRY_MILLIS = 1_000;

	private final TrafficPolicies policies;

	private final FlightBook flights;

	private final TargetChooser chooser;

	private final SuspectWatch suspects;

	private final Dispatcher dispatcher;

	private final SupplyGuard guard;

	AttemptOutcomes(TrafficPolicies policies, FlightBook flights, TargetChooser chooser, SuspectWatch suspects,
			Dispatcher dispatcher, SupplyGuard guard) {
		this.policies = policies;
		this.flights = flights;
		this.chooser = chooser;
		this.suspects = suspects;
		this.dispatcher = dispatcher;
		this.guard = guard;
	}

	/**
	 * Takes the end of a request's live attempt.
	 * @param nowNanos the monotonic time
	 * @param flight the request
	 * @param how how the attempt ended
	 * @param tokensDelivered the tokens that the caller has in all
	 */
	void onEnd(long nowNanos, Flight flight, AttemptEnd how, int tokensDelivered) {
		if (flight.attemptRan) {
			flight.load.onTokens(nowNanos, flight.progressAtNanos, tokensDelivered - flight.tokensDelivered, false);
		}
		flight.tokensDelivered = Math.max(flight.tokensDelivered, tokensDelivered);
		if (how == AttemptEnd.WITHHELD) {
			onWithheld(nowNanos, flight);
			return;
		}
		final boolean shifted = flight.shifting;
		// A target that delivered something cannot say any more that it ran nothing.
		if (how == AttemptEnd.NOT_CONNECTED || (how == AttemptEnd.DECLINED && !flight.attemptRan)) {
			flight.sentAttempts--;
		}
		this.flights.leaveTarget(nowNanos, flight, shifted ? shiftEnd(flight) : how);
		if (how == AttemptEnd.COMPLETE) {
			flight.ran = true;
			flight.complete = true;
			this.policies.killer().onRunPastCrash(flight.info.fingerprint(), true);
			this.flights.forget(nowNanos, flight);
			this.policies.retry().onSuccess(nowNanos);
			this.flights.act(new TrafficAction.Finish(flight.info.requestId()));
			return;
		}
		if (shifted) {
			this.dispatcher.startOrWait(nowNanos, flight);
			return;
		}
		if (how == AttemptEnd.BROKEN) {
			flight.notBeforeNanos = nowNanos + this.policies.killer().retryDelayNanos(flight.info.fingerprint());
			this.suspects.onDeath(nowNanos, flight);
		}
		else if (how == AttemptEnd.FAILURE_ANSWERED) {
			this.policies.killer().onErrorResponse(flight.info.fingerprint());
		}
		afterFailure(nowNanos, flight, how);
	}

	// Nothing left this daemon, so neither the request nor the target is charged with it.
	private void onWithheld(long nowNanos, Flight flight) {
		flight.sentAttempts--;
		flight.withheldAttempts++;
		flight.triedTargetIds.remove(flight.target.targetId());
		this.flights.leaveTarget(nowNanos, flight, AttemptEnd.WITHHELD);
		if (this.chooser.isPlaceable(flight)) {
			this.dispatcher.startOrWait(nowNanos, flight);
		}
		else {
			giveUp(nowNanos, flight, AttemptEnd.WITHHELD);
		}
	}

	// A target that stood still is held to have failed, so that others are not sent
	// there;
	// one that merely drains did nothing wrong.
	private static AttemptEnd shiftEnd(Flight flight) {
		return flight.stalled ? AttemptEnd.BROKEN : AttemptEnd.CANCELLED;
	}

	private void afterFailure(long nowNanos, Flight flight, AttemptEnd how) {
		if (this.policies.killer().isQuarantined(flight.info.fingerprint())) {
			this.flights.end(nowNanos, flight, ErrorKind.QUARANTINED, 0);
			return;
		}
		final boolean sendable = flight.info.idempotent() || !flight.bytesSent();
		final RetryDecision decision = (sendable && flight.usedAttempts() < flight.info.maxAttempts())
				? this.policies.retry().afterFailure(nowNanos, flight.info, flight.usedAttempts(), how)
				: RetryDecision.GIVE_UP;
		if (decision == RetryDecision.RETRY && this.chooser.isPlaceable(flight)) {
			this.dispatcher.startOrWait(nowNanos, flight);
			return;
		}
		giveUp(nowNanos, flight, how);
	}

	private void giveUp(long nowNanos, Flight flight, AttemptEnd how) {
		this.flights.end(nowNanos, flight, failureOf(flight, how),
				this.guard.retryMillis(nowNanos, flight.info, RETRY_MILLIS));
	}

	// Where every target declined, the caller may be told so: it did not run anywhere.
	private static ErrorKind failureOf(Flight flight, AttemptEnd how) {
		if ((how == AttemptEnd.DECLINED || how == AttemptEnd.WITHHELD) && !flight.bytesSent()) {
			return ErrorKind.NO_CAPACITY;
		}
		return (how == AttemptEnd.MISMATCHED) ? ErrorKind.TARGET_PROTOCOL : ErrorKind.TARGET_FAILED;
	}

	/**
	 * Gives up those who wait for a target that will not come: none serves any more that
	 * they have not failed at, or all want nothing until their time is up.
	 * @param nowNanos the monotonic time
	 */
	void endStranded(long nowNanos) {
		for (final Flight flight : this.flights.all()) {
			if (flight.resuming && flight.attempts > 0 && !this.chooser.isPlaceable(flight)) {
				giveUp(nowNanos, flight, flight.bytesSent() ? AttemptEnd.BROKEN : AttemptEnd.DECLINED);
			}
		}
	}

}
