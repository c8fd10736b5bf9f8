package org.pistachioline.core.traffic;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.pistachioline.core.error.ErrorKind;
import org.pistachioline.core.error.RunState;
import org.pistachioline.core.quarantine.SuspectKind;

/**
 * Holds the requests that have not ended and the actions that are due for them.
 * <p>
 * Every request ends exactly once, with a correct run state, and releases its target, its
 * share of the workspace's limits and its claim.
 */
final class ActiveRequests {

	/**
	 * The shortest delay that a caller which may retry is given; without a stated delay
	 * callers retry immediately.
	 */
	static final long MIN_RETRY_AFTER_MILLIS = 500;

	private static final long LIMBO_RETRY_AFTER_MILLIS = 1_000;

	private final TrafficPolicies policies;

	private final TargetRegistry targets;

	private final SuspectIsolation isolation;

	private final RedispatchQueue redispatchQueue;

	private final CompletionTimes completionTimes;

	private final OutputPace outputPace;

	private final Map<Long, ActiveRequest> requestsById = new LinkedHashMap<>();

	private final Map<Long, RequestInfo> abandonedClaims = new HashMap<>();

	private final List<TrafficAction> actions = new ArrayList<>();

	ActiveRequests(TrafficPolicies policies, TargetRegistry targets, SuspectIsolation isolation,
			RedispatchQueue redispatchQueue, CompletionTimes completionTimes, OutputPace outputPace) {
		this.policies = policies;
		this.targets = targets;
		this.isolation = isolation;
		this.redispatchQueue = redispatchQueue;
		this.completionTimes = completionTimes;
		this.outputPace = outputPace;
	}

	void add(ActiveRequest request) {
		this.requestsById.put(request.info.requestId(), request);
	}

	ActiveRequest get(long requestId) {
		return this.requestsById.get(requestId);
	}

	/**
	 * Finds the request whose live attempt is the given one.
	 * @param attempt the attempt
	 * @return the request; null if the attempt has ended or was replaced
	 */
	ActiveRequest findLive(AttemptId attempt) {
		final ActiveRequest request = this.requestsById.get(attempt.requestId());
		return (request != null && attempt.equals(request.liveAttempt)) ? request : null;
	}

	List<ActiveRequest> all() {
		return List.copyOf(this.requestsById.values());
	}

	int size() {
		return this.requestsById.size();
	}

	/**
	 * Returns for how long requests like the given one have been active at most.
	 * @param nowNanos the monotonic time
	 * @param info the request
	 * @return the time since the oldest of them arrived, in nanoseconds; 0 if there is
	 * none
	 */
	long longestActiveNanos(long nowNanos, RequestInfo info) {
		return this.requestsById.values()
			.stream()
			.filter((request) -> this.completionTimes.alike(request.info, info))
			.mapToLong((request) -> nowNanos - request.arrivedAtNanos)
			.max()
			.orElse(0);
	}

	/**
	 * Returns for how long the oldest request has been active.
	 * @param nowNanos the monotonic time
	 * @return the time since it arrived, in nanoseconds; 0 without requests
	 */
	long oldestAgeNanos(long nowNanos) {
		// They are held in the order of their arrival.
		return this.requestsById.values()
			.stream()
			.findFirst()
			.map((request) -> nowNanos - request.arrivedAtNanos)
			.orElse(0L);
	}

	void addAction(TrafficAction action) {
		this.actions.add(action);
	}

	List<TrafficAction> drainActions() {
		final List<TrafficAction> drained = List.copyOf(this.actions);
		this.actions.clear();
		return drained;
	}

	/**
	 * Releases a claim that was granted after its request had ended.
	 * @param requestId the request
	 * @param verdict the result of the claim
	 * @param claimOffset the claim's offset, if it was granted
	 */
	void releaseAbandonedClaim(long requestId, ClaimVerdict verdict, long claimOffset) {
		final RequestInfo info = this.abandonedClaims.remove(requestId);
		// The request ended as "not run" while its claim was pending. If the claim were
		// kept, it would block the caller's retries of a request that never ran.
		if (info != null && verdict == ClaimVerdict.GRANTED) {
			this.actions.add(new TrafficAction.Release(requestId, info, claimOffset));
		}
	}

	void detachFromTarget(long nowNanos, ActiveRequest request, AttemptOutcome outcome) {
		request.liveAttempt = null;
		request.migrating = false;
		request.load.onEnd(nowNanos, request.info.costTokens(), outcome);
		this.targets.refresh(nowNanos, request.info, request.load);
		this.isolation.release(request);
	}

	void fail(long nowNanos, ActiveRequest request, ErrorKind kind, long retryAfterMillis) {
		fail(nowNanos, request, kind, retryAfterMillis, FailureReason.of(kind));
	}

	void fail(long nowNanos, ActiveRequest request, ErrorKind kind, long retryAfterMillis, FailureReason reason) {
		if (request.liveAttempt != null) {
			this.actions.add(new TrafficAction.Cancel(request.liveAttempt));
			detachFromTarget(nowNanos, request, AttemptOutcome.CANCELLED);
		}
		if (request.claimOffset >= 0 && !request.mayHaveSentBytes()) {
			this.actions.add(new TrafficAction.Release(request.info.requestId(), request.info, request.claimOffset));
		}
		remove(nowNanos, request);
		final long delayMillis = kind.retryable() ? Math.max(retryAfterMillis, MIN_RETRY_AFTER_MILLIS)
				: retryAfterMillis;
		this.actions.add(
				new TrafficAction.Fail(request.info.requestId(), kind, runStateOf(kind, request), delayMillis, reason));
	}

	/**
	 * Fails a request if it, or a part of its prompt, is quarantined.
	 * @param nowNanos the monotonic time
	 * @param request the request
	 * @return whether it has failed
	 */
	boolean failIfQuarantined(long nowNanos, ActiveRequest request) {
		final Optional<SuspectKind> quarantinedBy = this.policies.quarantine()
			.quarantinedBy(request.info.fingerprint(), request.info.sharedPromptParts());
		quarantinedBy.ifPresent((kind) -> fail(nowNanos, request, ErrorKind.QUARANTINED, 0, FailureReason.of(kind)));
		return quarantinedBy.isPresent();
	}

	/**
	 * Fails a request whose claim could not be checked, as claim records may be missing.
	 * An earlier request with its key may have run, so the run state is unknown.
	 * @param nowNanos the monotonic time
	 * @param request the request
	 */
	void failInLimbo(long nowNanos, ActiveRequest request) {
		remove(nowNanos, request);
		this.actions.add(new TrafficAction.Fail(request.info.requestId(), ErrorKind.CLAIM_UNAVAILABLE, RunState.UNKNOWN,
				LIMBO_RETRY_AFTER_MILLIS, FailureReason.CLAIM));
	}

	// An error kind that implies "not run" must not be combined with bytes that may have
	// been sent, so the request's own state counts. For kinds that refer to an earlier
	// request with the same key, it is not known here whether that one ran.
	private static RunState runStateOf(ErrorKind kind, ActiveRequest request) {
		final boolean refersToEarlierRequest = kind == ErrorKind.KEY_IN_PROGRESS || kind == ErrorKind.OUTCOME_UNKNOWN
				|| kind == ErrorKind.KEY_EXPIRED;
		return refersToEarlierRequest ? RunState.UNKNOWN : request.runState();
	}

	void remove(long nowNanos, ActiveRequest request) {
		this.requestsById.remove(request.info.requestId());
		if (request.queued) {
			this.policies.queue().remove(request.info.requestId());
		}
		this.policies.queue()
			.onEnded(nowNanos, request.info, request.completed, request.tokensDelivered,
					nowNanos - request.attemptStartedAtNanos);
		if (request.completed) {
			this.completionTimes.onCompleted(nowNanos, request.info, nowNanos - request.arrivedAtNanos);
			this.outputPace.onCompleted(nowNanos, request);
		}
		if (request.completed && request.startedAttempts == 1) {
			this.policies.admission()
				.onServed(nowNanos, request.info, nowNanos - request.attemptStartedAtNanos,
						request.attemptStartedAtNanos - request.arrivedAtNanos);
		}
		this.redispatchQueue.remove(request);
		if (request.claimPending) {
			this.abandonedClaims.put(request.info.requestId(), request.info);
		}
		this.policies.admission().release(nowNanos, request.info);
	}

}
