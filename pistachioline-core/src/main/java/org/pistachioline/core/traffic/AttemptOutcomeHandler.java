package org.pistachioline.core.traffic;

import java.util.Optional;

import org.pistachioline.core.error.ErrorKind;
import org.pistachioline.core.retry.RetryDecision;

/**
 * Decides how a request continues when its attempt has ended: it completes, is dispatched
 * to another target, or fails.
 */
final class AttemptOutcomeHandler {

	private static final long RETRY_AFTER_MILLIS = 1_000;

	private final TrafficPolicies policies;

	private final ActiveRequests activeRequests;

	private final TargetSelector selector;

	private final SuspectTracker suspectTracker;

	private final Dispatcher dispatcher;

	private final DeadlineAdmission deadlineAdmission;

	AttemptOutcomeHandler(TrafficPolicies policies, ActiveRequests activeRequests, TargetSelector selector,
			SuspectTracker suspectTracker, Dispatcher dispatcher, DeadlineAdmission deadlineAdmission) {
		this.policies = policies;
		this.activeRequests = activeRequests;
		this.selector = selector;
		this.suspectTracker = suspectTracker;
		this.dispatcher = dispatcher;
		this.deadlineAdmission = deadlineAdmission;
	}

	/**
	 * Handles the end of a request's live attempt.
	 * @param nowNanos the monotonic time
	 * @param request the request
	 * @param outcome how the attempt ended
	 * @param tokensDelivered the total number of tokens that the caller has received
	 */
	void onAttemptEnd(long nowNanos, ActiveRequest request, AttemptOutcome outcome, int tokensDelivered) {
		if (request.attemptHasOutput) {
			request.load.onTokens(nowNanos, request.progressAtNanos, tokensDelivered - request.tokensDelivered, false);
		}
		request.tokensDelivered = Math.max(request.tokensDelivered, tokensDelivered);
		if (outcome == AttemptOutcome.WITHHELD) {
			onWithheld(nowNanos, request);
			return;
		}
		if (outcome == AttemptOutcome.UNSENDABLE && !request.attemptHasOutput) {
			onUnsendable(nowNanos, request);
			return;
		}
		final boolean migrated = request.migrating;
		// A target that has delivered output cannot claim afterwards that it ran nothing.
		final boolean declined = outcome == AttemptOutcome.DECLINED && !request.attemptHasOutput;
		if (outcome == AttemptOutcome.NOT_CONNECTED || declined) {
			request.sentAttempts--;
		}
		if (outcome != AttemptOutcome.DECLINED || declined) {
			request.triedTargets.onEnd(nowNanos, request.target.targetId(), outcome);
		}
		if (migrated && request.targetStalled) {
			request.load.onStall(nowNanos);
		}
		this.activeRequests.detachFromTarget(nowNanos, request, migrated ? AttemptOutcome.CANCELLED : outcome);
		if (outcome == AttemptOutcome.COMPLETE) {
			request.hasRun = true;
			request.completed = true;
			this.policies.quarantine().onRunPastCrash(nowNanos, request.info.fingerprint(), true);
			this.policies.quarantine().onAnswer(nowNanos, request.info.sharedPromptParts());
			this.activeRequests.remove(nowNanos, request);
			this.policies.retry().onSuccess(nowNanos);
			this.activeRequests.addAction(new TrafficAction.Finish(request.info.requestId()));
			return;
		}
		if (migrated) {
			this.dispatcher.startOrEnqueue(nowNanos, request);
			return;
		}
		if (outcome == AttemptOutcome.BROKEN) {
			request.earliestStartNanos = nowNanos + this.policies.quarantine()
				.retryDelayNanos(request.info.fingerprint(), request.info.sharedPromptParts());
			this.suspectTracker.onBrokenAttempt(nowNanos, request);
		}
		else if (outcome == AttemptOutcome.FAILURE_ANSWERED) {
			this.policies.quarantine().onErrorResponse(request.info.fingerprint());
		}
		afterFailure(nowNanos, request, outcome);
	}

	// Nothing was sent, so the attempt counts neither against the request's limit of
	// attempts nor against the target, which may be selected again.
	private void onWithheld(long nowNanos, ActiveRequest request) {
		request.sentAttempts--;
		request.withheldAttempts++;
		request.triedTargets.onWithheld(request.target.targetId());
		this.activeRequests.detachFromTarget(nowNanos, request, AttemptOutcome.WITHHELD);
		if (this.selector.canBePlaced(request)) {
			this.dispatcher.startOrEnqueue(nowNanos, request);
		}
		else {
			failWithOutcome(nowNanos, request, AttemptOutcome.WITHHELD, FailureReason.NO_TARGET);
		}
	}

	// No other target could be sent it either, and the target is not at fault.
	private void onUnsendable(long nowNanos, ActiveRequest request) {
		request.sentAttempts--;
		this.activeRequests.detachFromTarget(nowNanos, request, AttemptOutcome.CANCELLED);
		this.activeRequests.fail(nowNanos, request, ErrorKind.UNSENDABLE, 0);
	}

	private void afterFailure(long nowNanos, ActiveRequest request, AttemptOutcome outcome) {
		if (this.activeRequests.failIfQuarantined(nowNanos, request)) {
			return;
		}
		final Optional<FailureReason> obstacle = obstacleToRetry(nowNanos, request, outcome);
		if (obstacle.isEmpty()) {
			this.dispatcher.startOrEnqueue(nowNanos, request);
		}
		else if (request.isBegunStream() && this.selector.canBePlaced(request)) {
			request.awaitingRetryBudget = true;
			this.dispatcher.startOrEnqueue(nowNanos, request);
		}
		else {
			failWithOutcome(nowNanos, request, outcome, obstacle.get());
		}
	}

	private Optional<FailureReason> obstacleToRetry(long nowNanos, ActiveRequest request, AttemptOutcome outcome) {
		if (!request.info.idempotent() && request.mayHaveSentBytes()) {
			return Optional.of(FailureReason.NOT_REPEATABLE);
		}
		if (request.usedAttempts() >= request.info.maxAttempts()) {
			return Optional.of(FailureReason.ATTEMPTS_USED);
		}
		if (this.policies.retry()
			.afterFailure(nowNanos, request.info, request.usedAttempts(), outcome) == RetryDecision.GIVE_UP) {
			return Optional.of(FailureReason.RETRY_BUDGET_USED);
		}
		return this.selector.canBePlaced(request) ? Optional.empty() : Optional.of(FailureReason.NO_TARGET);
	}

	private void failWithOutcome(long nowNanos, ActiveRequest request, AttemptOutcome outcome, FailureReason reason) {
		this.activeRequests.fail(nowNanos, request, errorKindOf(request, outcome),
				this.deadlineAdmission.retryAfterMillis(nowNanos, request.info, RETRY_AFTER_MILLIS), reason);
	}

	// If every target declined, the request has not run anywhere, which the error kind
	// tells the caller.
	private static ErrorKind errorKindOf(ActiveRequest request, AttemptOutcome outcome) {
		if ((outcome == AttemptOutcome.DECLINED || outcome == AttemptOutcome.WITHHELD) && !request.mayHaveSentBytes()) {
			return ErrorKind.NO_CAPACITY;
		}
		return (outcome == AttemptOutcome.MISMATCHED) ? ErrorKind.TARGET_PROTOCOL : ErrorKind.TARGET_FAILED;
	}

	/**
	 * Fails the requests that wait for another target but can get none before their
	 * deadline: no serving target is left that they may be sent to, or all of those
	 * refuse new requests until then.
	 * @param nowNanos the monotonic time
	 */
	void failUnplaceable(long nowNanos) {
		for (final ActiveRequest request : this.activeRequests.all()) {
			if (request.awaitingRedispatch && request.startedAttempts > 0 && !this.selector.canBePlaced(request)) {
				failWithOutcome(nowNanos, request,
						request.mayHaveSentBytes() ? AttemptOutcome.BROKEN : AttemptOutcome.DECLINED,
						FailureReason.NO_TARGET);
			}
		}
	}

}
