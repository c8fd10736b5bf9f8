package org.pistachioline.core.traffic;

import java.util.Optional;

import org.pistachioline.core.error.ErrorKind;
import org.pistachioline.core.placement.TargetLoad;

/**
 * Takes requests out of the queue and starts their attempts.
 */
final class Dispatcher {

	private static final long RETRY_AFTER_MILLIS = 1_000;

	private final TrafficPolicies policies;

	private final ActiveRequests activeRequests;

	private final TargetRegistry targets;

	private final TargetSelector selector;

	private final SuspectIsolation isolation;

	private final RedispatchQueue redispatchQueue;

	Dispatcher(TrafficPolicies policies, ActiveRequests activeRequests, TargetRegistry targets, TargetSelector selector,
			SuspectIsolation isolation, RedispatchQueue redispatchQueue) {
		this.policies = policies;
		this.activeRequests = activeRequests;
		this.targets = targets;
		this.selector = selector;
		this.isolation = isolation;
		this.redispatchQueue = redispatchQueue;
	}

	/**
	 * Fails the queued requests that have expired, then starts as many of the others as
	 * have a target. Called after every event that may have freed capacity.
	 * @param nowNanos the monotonic time
	 */
	void dispatchReady(long nowNanos) {
		for (final RequestInfo expired : this.policies.queue().expire(nowNanos)) {
			final ActiveRequest request = this.activeRequests.get(expired.requestId());
			if (request != null) {
				request.queued = false;
				this.activeRequests.fail(nowNanos, request, ErrorKind.DEADLINE_UNREACHABLE,
						this.policies.admission().retryAfterMillis(nowNanos, expired, RETRY_AFTER_MILLIS));
			}
		}
		this.redispatchQueue.poll(nowNanos, (request) -> this.selector.hasCandidate(nowNanos, request),
				(request) -> dispatch(nowNanos, request));
		Optional<RequestInfo> next = this.policies.queue().poll(nowNanos, this.targets::freeSlots);
		while (next.isPresent()) {
			final ActiveRequest request = this.activeRequests.get(next.get().requestId());
			if (request != null) {
				request.queued = false;
				dispatch(nowNanos, request);
			}
			next = this.policies.queue().poll(nowNanos, this.targets::freeSlots);
		}
	}

	private void dispatch(long nowNanos, ActiveRequest request) {
		if (this.activeRequests.failIfQuarantined(nowNanos, request)) {
			return;
		}
		if (request.info.claim().isRequired() && request.claimOffset < 0) {
			request.claimPending = true;
			this.activeRequests.addAction(new TrafficAction.Claim(request.info.requestId(), request.info));
			return;
		}
		startOrEnqueue(nowNanos, request);
	}

	/**
	 * Starts a request's next attempt, or adds it to the redispatch queue if no target
	 * can take it yet.
	 * @param nowNanos the monotonic time
	 * @param request the request
	 */
	void startOrEnqueue(long nowNanos, ActiveRequest request) {
		if (this.activeRequests.failIfQuarantined(nowNanos, request)) {
			return;
		}
		final boolean mayStart = nowNanos - request.earliestStartNanos >= 0 && !isHeldBack(nowNanos, request);
		final boolean startable = mayStart && (!request.awaitingRetryBudget
				|| (this.selector.hasCandidate(nowNanos, request) && acquireRetryBudget(nowNanos, request)));
		final Optional<TargetLoad> selected = startable ? this.selector.select(nowNanos, request) : Optional.empty();
		if (selected.isPresent()) {
			start(nowNanos, request, selected.get());
		}
		else {
			this.redispatchQueue.add(request);
		}
	}

	private boolean isHeldBack(long nowNanos, ActiveRequest request) {
		return this.policies.quarantine()
			.holdNanos(nowNanos, request.info.fingerprint(), request.info.sharedPromptParts()) > 0;
	}

	private boolean acquireRetryBudget(long nowNanos, ActiveRequest request) {
		request.awaitingRetryBudget = !this.policies.retry().tryAcquireToContinue(nowNanos, request.info);
		return !request.awaitingRetryBudget;
	}

	private void start(long nowNanos, ActiveRequest request, TargetLoad load) {
		request.startedAttempts++;
		// Counted as sent before any byte can leave the daemon, so that the request is
		// never reported as "not run" when it may have run.
		request.sentAttempts++;
		request.liveAttempt = new AttemptId(request.info.requestId(), request.startedAttempts);
		request.target = load.view();
		request.load = load;
		request.resumedFromTokens = request.tokensDelivered;
		request.triedTargets.onStart(load.view().targetId());
		request.attemptStartedAtNanos = nowNanos;
		request.attemptHasOutput = false;
		request.progressAtNanos = nowNanos;
		load.onStart(nowNanos, request.info.costTokens());
		this.isolation.onStart(request);
		this.targets.refresh(nowNanos, request.info, load);
		this.policies.placement().onPlaced(nowNanos, request.info, load);
		this.activeRequests
			.addAction(new TrafficAction.Start(request.liveAttempt, load.view(), request.tokensDelivered));
	}

}
