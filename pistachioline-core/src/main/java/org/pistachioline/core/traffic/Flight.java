package org.pistachioline.core.traffic;

import java.util.HashSet;
import java.util.Set;

import org.pistachioline.core.error.RunState;
import org.pistachioline.core.placement.TargetLoad;

/**
 * The mutable record of one request while the traffic core holds it.
 */
final class Flight {

	final RequestInfo info;

	final long arrivedAtNanos;

	final Set<String> triedTargetIds = new HashSet<>();

	int attempts;

	AttemptId liveAttempt;

	TargetView target;

	TargetLoad load;

	int withheldAttempts;

	int sentAttempts;

	boolean ran;

	boolean queued;

	boolean claiming;

	boolean resuming;

	boolean shifting;

	boolean stalled;

	boolean stallTold;

	boolean apart;

	int tokensDelivered;

	int resumedFromTokens;

	long progressAtNanos;

	long notBeforeNanos = Long.MIN_VALUE / 2;

	long startedAtNanos;

	boolean attemptRan;

	boolean complete;

	long claimOffset = -1;

	Flight(RequestInfo info, long arrivedAtNanos) {
		this.info = info;
		this.arrivedAtNanos = arrivedAtNanos;
	}

	/**
	 * Returns how many of the attempts that the request may have are used up.
	 * @return the number of attempts that were begun and not withheld
	 */
	int usedAttempts() {
		return this.attempts - this.withheldAttempts;
	}

	boolean bytesSent() {
		return this.sentAttempts > 0;
	}

	RunState runState() {
		if (!bytesSent()) {
			return RunState.NOT_RUN;
		}
		return this.ran ? RunState.RAN : RunState.UNKNOWN;
	}

}
