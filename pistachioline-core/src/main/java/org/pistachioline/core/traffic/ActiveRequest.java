package org.pistachioline.core.traffic;

import java.util.HashSet;
import java.util.Set;

import org.pistachioline.core.error.RunState;
import org.pistachioline.core.placement.TargetLoad;

/**
 * The mutable record of one request while the traffic core holds it.
 */
final class ActiveRequest {

	final RequestInfo info;

	final long arrivedAtNanos;

	final Set<String> triedTargetIds = new HashSet<>();

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

	boolean migrating;

	boolean targetStalled;

	boolean stallReported;

	boolean isolated;

	int tokensDelivered;

	int resumedFromTokens;

	long progressAtNanos;

	long earliestStartNanos = Long.MIN_VALUE / 2;

	long attemptStartedAtNanos;

	boolean attemptHasOutput;

	boolean completed;

	long claimOffset = -1;

	ActiveRequest(RequestInfo info, long arrivedAtNanos) {
		this.info = info;
		this.arrivedAtNanos = arrivedAtNanos;
	}

	/**
	 * Returns how many of the attempts that the request may have are used up.
	 * @return the number of attempts that were begun and not withheld
	 */
	int usedAttempts() {
		return this.startedAttempts - this.withheldAttempts;
	}

	boolean mayHaveSentBytes() {
		return this.sentAttempts > 0;
	}

	RunState runState() {
		if (!mayHaveSentBytes()) {
			return RunState.NOT_RUN;
		}
		return this.hasRun ? RunState.RAN : RunState.UNKNOWN;
	}

}
