package org.pistachioline.core.traffic;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.pistachioline.core.error.ErrorKind;
import org.pistachioline.core.error.RunState;

/**
 * The requests that have not ended, and how each of them ends: once, with a truthful run
 * state, with its target, its limits and its claim given back.
 */
final class ActiveRequests {

	/** Whoever may come back is told when: one who is told nothing comes at once. */
	static final long MIN_RETRY_AFTER_MILLIS = 500;

	private static final long LIMBO_RETRY_AFTER_MILLIS = 1_000;

	private final TrafficPolicies policies;

	private final TargetRegistry targets;

	private final SuspectIsolation isolation;

	private final RedispatchQueue redispatchQueue;

	private final Map<Long, ActiveRequest> requestsById = new LinkedHashMap<>();

	private final Map<Long, RequestInfo> abandonedClaims = new HashMap<>();

	private final List<TrafficAction> actions = new ArrayList<>();

	ActiveRequests(TrafficPolicies policies, TargetRegistry targets, SuspectIsolation isolation,
			RedispatchQueue resumptions) {
		this.policies = policies;
		this.targets = targets;
		this.isolation = isolation;
		this.redispatchQueue = resumptions;
	}

	void add(ActiveRequest flight) {
		this.requestsById.put(flight.info.requestId(), flight);
	}

	ActiveRequest get(long requestId) {
		return this.requestsById.get(requestId);
	}

	ActiveRequest findLive(AttemptId attempt) {
		final ActiveRequest flight = this.requestsById.get(attempt.requestId());
		return (flight != null && attempt.equals(flight.liveAttempt)) ? flight : null;
	}

	List<ActiveRequest> all() {
		return List.copyOf(this.requestsById.values());
	}

	int size() {
		return this.requestsById.size();
	}

	void addAction(TrafficAction action) {
		this.actions.add(action);
	}

	List<TrafficAction> drainActions() {
		final List<TrafficAction> drained = List.copyOf(this.actions);
		this.actions.clear();
		return drained;
	}

	void releaseAbandonedClaim(long requestId, ClaimVerdict verdict, long claimOffset) {
		final RequestInfo info = this.abandonedClaims.remove(requestId);
		// The request ended as not run while its claim was on the way. Kept, the claim
		// would bar the caller's repeats of something that never ran.
		if (info != null && verdict == ClaimVerdict.GRANTED) {
			this.actions.add(new TrafficAction.Release(requestId, info, claimOffset));
		}
	}

	void detachFromTarget(long nowNanos, ActiveRequest flight, AttemptOutcome how) {
		flight.liveAttempt = null;
		flight.migrating = false;
		flight.load.onEnd(nowNanos, flight.info.costTokens(), how);
		this.targets.refresh(nowNanos, flight.info, flight.load);
		this.isolation.release(flight);
	}

	void fail(long nowNanos, ActiveRequest flight, ErrorKind kind, long retryAfterMillis) {
		if (flight.liveAttempt != null) {
			this.actions.add(new TrafficAction.Cancel(flight.liveAttempt));
			detachFromTarget(nowNanos, flight, AttemptOutcome.CANCELLED);
		}
		if (flight.claimOffset >= 0 && !flight.mayHaveSentBytes()) {
			this.actions.add(new TrafficAction.Release(flight.info.requestId(), flight.info, flight.claimOffset));
		}
		remove(nowNanos, flight);
		final long afterMillis = kind.retryable() ? Math.max(retryAfterMillis, MIN_RETRY_AFTER_MILLIS)
				: retryAfterMillis;
		this.actions.add(new TrafficAction.Fail(flight.info.requestId(), kind, runStateOf(kind, flight), afterMillis));
	}

	void failInLimbo(long nowNanos, ActiveRequest flight) {
		remove(nowNanos, flight);
		this.actions.add(new TrafficAction.Fail(flight.info.requestId(), ErrorKind.CLAIM_UNAVAILABLE, RunState.UNKNOWN,
				LIMBO_RETRY_AFTER_MILLIS));
	}

	// A kind that says "not run" by itself must not be used once bytes have left, and
	// what
	// another request with the same key did is not known here.
	private static RunState runStateOf(ErrorKind kind, ActiveRequest flight) {
		final boolean keyed = kind == ErrorKind.KEY_IN_PROGRESS || kind == ErrorKind.OUTCOME_UNKNOWN
				|| kind == ErrorKind.KEY_EXPIRED;
		return keyed ? RunState.UNKNOWN : flight.runState();
	}

	void remove(long nowNanos, ActiveRequest flight) {
		this.requestsById.remove(flight.info.requestId());
		if (flight.queued) {
			this.policies.queue().remove(flight.info.requestId());
		}
		this.policies.queue()
			.onEnded(nowNanos, flight.info, flight.completed, flight.tokensDelivered,
					nowNanos - flight.attemptStartedAtNanos);
		this.redispatchQueue.remove(flight);
		if (flight.claimPending) {
			this.abandonedClaims.put(flight.info.requestId(), flight.info);
		}
		this.policies.admission().release(nowNanos, flight.info);
	}

}
