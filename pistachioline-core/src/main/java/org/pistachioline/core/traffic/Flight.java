package org.pistachioline.core.traffic;

import java.util.HashSet;
import java.util.Set;

import org.pistachioline.core.error.RunState;

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

	int sentAttempts;

	boolean ran;

	boolean queued;

	int tokensDelivered;

	long startedAtNanos;

	long progressAtNanos;

	boolean attemptRan;

	boolean complete;

	long claimOffset = -1;

	Flight(RequestInfo info, long arrivedAtNanos) {
		this.info = info;
		this.arrivedAtNanos = arrivedAtNanos;
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
