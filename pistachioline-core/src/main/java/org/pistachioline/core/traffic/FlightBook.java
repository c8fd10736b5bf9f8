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
final class FlightBook {

	/** Whoever may come back is told when: one who is told nothing comes at once. */
	static final long LEAST_RETRY_MILLIS = 500;

	private static final long RETRY_UNKNOWN_MILLIS = 1_000;

	private final TrafficPolicies policies;

	private final TargetBook targets;

	private final Isolation isolation;

	private final Resumptions resumptions;

	private final Map<Long, Flight> flights = new LinkedHashMap<>();

	private final Map<Long, RequestInfo> abandonedClaims = new HashMap<>();

	private final List<TrafficAction> actions = new ArrayList<>();

	FlightBook(TrafficPolicies policies, TargetBook targets, Isolation isolation, Resumptions resumptions) {
		this.policies = policies;
		this.targets = targets;
		this.isolation = isolation;
		this.resumptions = resumptions;
	}

	void add(Flight flight) {
		this.flights.put(flight.info.requestId(), flight);
	}

	Flight get(long requestId) {
		return this.flights.get(requestId);
	}

	Flight live(AttemptId attempt) {
		final Flight flight = this.flights.get(attempt.requestId());
		return (flight != null && attempt.equals(flight.liveAttempt)) ? flight : null;
	}

	List<Flight> all() {
		return List.copyOf(this.flights.values());
	}

	int size() {
		return this.flights.size();
	}

	void act(TrafficAction action) {
		this.actions.add(action);
	}

	List<TrafficAction> drainActions() {
		final List<TrafficAction> drained = List.copyOf(this.actions);
		this.actions.clear();
		return drained;
	}

	void giveBack(long requestId, ClaimVerdict verdict, long claimOffset) {
		final RequestInfo info = this.abandonedClaims.remove(requestId);
		// The request ended as not run while its claim was on the way. Kept, the claim
		// would bar the caller's repeats of something that never ran.
		if (info != null && verdict == ClaimVerdict.GRANTED) {
			this.actions.add(new TrafficAction.Release(requestId, info, claimOffset));
		}
	}

	void leaveTarget(long nowNanos, Flight flight, AttemptEnd how) {
		flight.liveAttempt = null;
		flight.shifting = false;
		flight.load.onEnd(nowNanos, flight.info.costTokens(), how);
		this.targets.refresh(nowNanos, flight.info, flight.load);
		this.isolation.onLeave(flight);
	}

	void end(long nowNanos, Flight flight, ErrorKind kind, long retryAfterMillis) {
		if (flight.liveAttempt != null) {
			this.actions.add(new TrafficAction.Cancel(flight.liveAttempt));
			leaveTarget(nowNanos, flight, AttemptEnd.CANCELLED);
		}
		if (flight.claimOffset >= 0 && !flight.bytesSent()) {
			this.actions.add(new TrafficAction.Release(flight.info.requestId(), flight.info, flight.claimOffset));
		}
		forget(nowNanos, flight);
		final long afterMillis = kind.retryable() ? Math.max(retryAfterMillis, LEAST_RETRY_MILLIS) : retryAfterMillis;
		this.actions.add(new TrafficAction.Fail(flight.info.requestId(), kind, runStateOf(kind, flight), afterMillis));
	}

	void endUnknown(long nowNanos, Flight flight) {
		forget(nowNanos, flight);
		this.actions.add(new TrafficAction.Fail(flight.info.requestId(), ErrorKind.CLAIM_UNAVAILABLE, RunState.UNKNOWN,
				RETRY_UNKNOWN_MILLIS));
	}

	// A kind that says "not run" by itself must not be used once bytes have left, and
	// what
	// another request with the same key did is not known here.
	private static RunState runStateOf(ErrorKind kind, Flight flight) {
		final boolean keyed = kind == ErrorKind.KEY_IN_PROGRESS || kind == ErrorKind.OUTCOME_UNKNOWN
				|| kind == ErrorKind.KEY_EXPIRED;
		return keyed ? RunState.UNKNOWN : flight.runState();
	}

	void forget(long nowNanos, Flight flight) {
		this.flights.remove(flight.info.requestId());
		if (flight.queued) {
			this.policies.queue().remove(flight.info.requestId());
		}
		this.policies.queue()
			.onEnded(nowNanos, flight.info, flight.complete, flight.tokensDelivered, nowNanos - flight.startedAtNanos);
		this.resumptions.remove(flight);
		if (flight.claiming) {
			this.abandonedClaims.put(flight.info.requestId(), flight.info);
		}
		this.policies.admission().release(nowNanos, flight.info);
	}

}
