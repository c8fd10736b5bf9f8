package org.pistachioline.core.traffic;

import org.pistachioline.core.error.ErrorKind;
import org.pistachioline.core.retry.RetryDecision;

/**
 * Decides what becomes of a request whose attempt has ended: it is done, goes on at
 * another target, or is given up.
 */
final class AttemptOutcomeHandler {

	private static final long RETRY_AFTER_MILLIS = 1_000;

	private final TrafficPolicies policies;

	private final ActiveRequests activeRequests;

	private final TargetSelector selector;

	private final SuspectTracker suspectTracker;

	private final Dispatcher dispatcher;

	private final DeadlineAdmission deadlineAdmission;

	AttemptOutcomeHandler(TrafficPolicies policies, ActiveRequests flights, TargetSelector chooser,
			SuspectTracker suspects, Dispatcher dispatcher, DeadlineAdmission guard) {
		this.policies = policies;
		this.activeRequests = flights;
		this.selector = chooser;
		this.suspectTracker = suspects;
		this.dispatcher = dispatcher;
		this.deadlineAdmission = guard;
	}

	/**
	 * Takes the end of a request's live attempt.
	 * @param nowNanos the monotonic time
	 * @param flight the request
	 * @param how how the attempt ended
	 * @param tokensDelivered the tokens that the caller has in all
	 */
	void onAttemptEnd(long nowNanos, ActiveRequest flight, AttemptOutcome how, int tokensDelivered) {
		if (flight.attemptHasOutput) {
			flight.load.onTokens(nowNanos, flight.progressAtNanos, tokensDelivered - flight.tokensDelivered, false);
		}
		flight.tokensDelivered = Math.max(flight.tokensDelivered, tokensDelivered);
		if (how == AttemptOutcome.WITHHELD) {
			onWithheld(nowNanos, flight);
			return;
		}
		final boolean shifted = flight.migrating;
		// A target that delivered something cannot say any more that it ran nothing.
		if (how == AttemptOutcome.NOT_CONNECTED || (how == AttemptOutcome.DECLINED && !flight.attemptHasOutput)) {
			flight.sentAttempts--;
		}
		this.activeRequests.detachFromTarget(nowNanos, flight, shifted ? outcomeOfMigration(flight) : how);
		if (how == AttemptOutcome.COMPLETE) {
			flight.hasRun = true;
			flight.completed = true;
			this.policies.quarantine().onRunPastCrash(flight.info.fingerprint(), true);
			this.activeRequests.remove(nowNanos, flight);
			this.policies.retry().onSuccess(nowNanos);
			this.activeRequests.addAction(new TrafficAction.Finish(flight.info.requestId()));
			return;
		}
		if (shifted) {
			this.dispatcher.startOrEnqueue(nowNanos, flight);
			return;
		}
		if (how == AttemptOutcome.BROKEN) {
			flight.earliestStartNanos = nowNanos
					+ this.policies.quarantine().retryDelayNanos(flight.info.fingerprint());
			this.suspectTracker.onBrokenAttempt(nowNanos, flight);
		}
		else if (how == AttemptOutcome.FAILURE_ANSWERED) {
			this.policies.quarantine().onErrorResponse(flight.info.fingerprint());
		}
		afterFailure(nowNanos, flight, how);
	}

	// Nothing left this daemon, so neither the request nor the target is charged with it.
	private void onWithheld(long nowNanos, ActiveRequest flight) {
		flight.sentAttempts--;
		flight.withheldAttempts++;
		flight.triedTargetIds.remove(flight.target.targetId());
		this.activeRequests.detachFromTarget(nowNanos, flight, AttemptOutcome.WITHHELD);
		if (this.selector.canBePlaced(flight)) {
			this.dispatcher.startOrEnqueue(nowNanos, flight);
		}
		else {
			failWithOutcome(nowNanos, flight, AttemptOutcome.WITHHELD);
		}
	}

	// A target that stood still is held to have failed, so that others are not sent
	// there;
	// one that merely drains did nothing wrong.
	private static AttemptOutcome outcomeOfMigration(ActiveRequest flight) {
		return flight.targetStalled ? AttemptOutcome.BROKEN : AttemptOutcome.CANCELLED;
	}

	private void afterFailure(long nowNanos, ActiveRequest flight, AttemptOutcome how) {
		if (this.policies.quarantine().isQuarantined(flight.info.fingerprint())) {
			this.activeRequests.fail(nowNanos, flight, ErrorKind.QUARANTINED, 0);
			return;
		}
		final boolean sendable = flight.info.idempotent() || !flight.mayHaveSentBytes();
		final RetryDecision decision = (sendable && flight.usedAttempts() < flight.info.maxAttempts())
				? this.policies.retry().afterFailure(nowNanos, flight.info, flight.usedAttempts(), how)
				: RetryDecision.GIVE_UP;
		if (decision == RetryDecision.RETRY && this.selector.canBePlaced(flight)) {
			this.dispatcher.startOrEnqueue(nowNanos, flight);
			return;
		}
		failWithOutcome(nowNanos, flight, how);
	}

	private void failWithOutcome(long nowNanos, ActiveRequest flight, AttemptOutcome how) {
		this.activeRequests.fail(nowNanos, flight, errorKindOf(flight, how),
				this.deadlineAdmission.retryAfterMillis(nowNanos, flight.info, RETRY_AFTER_MILLIS));
	}

	// Where every target declined, the caller may be told so: it did not run anywhere.
	private static ErrorKind errorKindOf(ActiveRequest flight, AttemptOutcome how) {
		if ((how == AttemptOutcome.DECLINED || how == AttemptOutcome.WITHHELD) && !flight.mayHaveSentBytes()) {
			return ErrorKind.NO_CAPACITY;
		}
		return (how == AttemptOutcome.MISMATCHED) ? ErrorKind.TARGET_PROTOCOL : ErrorKind.TARGET_FAILED;
	}

	/**
	 * Gives up those who wait for a target that will not come: none serves any more that
	 * they have not failed at, or all want nothing until their time is up.
	 * @param nowNanos the monotonic time
	 */
	void failUnplaceable(long nowNanos) {
		for (final ActiveRequest flight : this.activeRequests.all()) {
			if (flight.awaitingRedispatch && flight.startedAttempts > 0 && !this.selector.canBePlaced(flight)) {
				failWithOutcome(nowNanos, flight,
						flight.mayHaveSentBytes() ? AttemptOutcome.BROKEN : AttemptOutcome.DECLINED);
			}
		}
	}

}
