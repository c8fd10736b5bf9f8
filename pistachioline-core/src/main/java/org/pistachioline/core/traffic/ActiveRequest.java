package org.pistachioline.core.traffic;

import java.util.OptionalLong;

import org.pistachioline.core.error.RunState;
import org.pistachioline.core.placement.TargetLoad;

/**
 * The mutable state of a request from its admission until it completes or fails.
 */
final class ActiveRequest {

	final RequestInfo info;

	final long arrivedAtNanos;

	final TriedTargets triedTargets = new TriedTargets();

	int startedAttempts;

	AttemptId liveAttempt;

	TargetView target;

	TargetLoad load;

	int withheldAttempts;

	int sentAttempts;

	boolean hasRun;

	boolean queued;

	boolean claimPending;

	boolean awaitingRedispatch;

	/** Whether the next attempt has not been taken from the retry budget yet. */
	boolean awaitingRetryBudget;

	boolean migrating;

	/** How often the stream was taken off its target. */
	int migrations;

	boolean targetStalled;

	boolean stallReported;

	boolean isolated;

	int tokensDelivered;

	int resumedFromTokens;

	/** When its caller got the first output. */
	OptionalLong firstOutputAtNanos = OptionalLong.empty();

	long progressAtNanos;

	/** Unrestricted at first; halved so that differences of times do not overflow. */
	long earliestStartNanos = Long.MIN_VALUE / 2;

	long attemptStartedAtNanos;

	boolean attemptHasOutput;

	/** Whether an attempt has got past the starting phase of its answer. */
	boolean answerRecorded;

	boolean completed;

	/** The offset of the granted claim on the log; -1 without one. */
	long claimOffset = -1;

	ActiveRequest(RequestInfo info, long arrivedAtNanos) {
		this.info = info;
		this.arrivedAtNanos = arrivedAtNanos;
	}

	/**
	 * Returns how many attempts count against the request's limit.
	 * @return the number of attempts that were started and not withheld
	 */
	int usedAttempts() {
		return this.startedAttempts - this.withheldAttempts;
	}

	/**
	 * Returns whether this is a stream that its caller has begun to receive, and that any
	 * target can continue. Its response cannot be replaced by an error response any more.
	 * @return whether it is
	 */
	boolean isBegunStream() {
		return this.tokensDelivered > 0 && this.info.targetKind() == TargetKind.MODEL && this.info.idempotent();
	}

	boolean mayHaveSentBytes() {
		return this.sentAttempts > 0;
	}

	/**
	 * Returns whether it waits for a target and nothing of it has been sent to one.
	 * @return whether it can still be refused as not run
	 */
	boolean isWaitingUnsent() {
		return this.liveAttempt == null && !this.claimPending && !mayHaveSentBytes();
	}

	RunState runState() {
		if (!mayHaveSentBytes()) {
			return RunState.NOT_RUN;
		}
		return this.hasRun ? RunState.RAN : RunState.UNKNOWN;
	}

}
