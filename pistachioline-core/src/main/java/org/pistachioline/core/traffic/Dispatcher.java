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

	Dispatcher(TrafficPolicies policies, ActiveRequests flights, TargetRegistry targets, TargetSelector chooser,
			SuspectIsolation isolation, RedispatchQueue resumptions) {
		this.policies = policies;
		this.activeRequests = flights;
		this.targets = targets;
		this.selector = chooser;
		this.isolation = isolation;
		this.redispatchQueue = resumptions;
	}

	/**
	 * Starts what can start, after whatever may have made room.
	 * @param nowNanos the monotonic time
	 */
	void dispatchReady(long nowNanos) {
		for (final RequestInfo expired : this.policies.queue().expire(nowNanos)) {
			final ActiveRequest flight = this.activeRequests.get(expired.requestId());
			if (flight != null) {
				flight.queued = false;
				this.activeRequests.fail(nowNanos, flight, ErrorKind.DEADLINE_UNREACHABLE, RETRY_AFTER_MILLIS);
			}
		}
		this.redispatchQueue.poll(nowNanos, this.selector::hasCandidate, (flight) -> dispatch(nowNanos, flight));
		Optional<RequestInfo> next = this.policies.queue().poll(nowNanos, this.targets::freeSlots);
		while (next.isPresent()) {
			final ActiveRequest flight = this.activeRequests.get(next.get().requestId());
			if (flight != null) {
				flight.queued = false;
				dispatch(nowNanos, flight);
			}
			next = this.policies.queue().poll(nowNanos, this.targets::freeSlots);
		}
	}

	private void dispatch(long nowNanos, ActiveRequest flight) {
		if (failIfQuarantined(nowNanos, flight)) {
			return;
		}
		if (flight.info.claim().isRequired() && flight.claimOffset < 0) {
			flight.claimPending = true;
			this.activeRequests.addAction(new TrafficAction.Claim(flight.info.requestId(), flight.info));
			return;
		}
		startOrEnqueue(nowNanos, flight);
	}

	private boolean failIfQuarantined(long nowNanos, ActiveRequest flight) {
		final boolean quarantined = this.policies.quarantine().isQuarantined(flight.info.fingerprint());
		if (quarantined) {
			this.activeRequests.fail(nowNanos, flight, ErrorKind.QUARANTINED, 0);
		}
		return quarantined;
	}

	/**
	 * Starts a request's next attempt, or lets it wait for a target before the queue.
	 * @param nowNanos the monotonic time
	 * @param flight the request
	 */
	void startOrEnqueue(long nowNanos, ActiveRequest flight) {
		if (failIfQuarantined(nowNanos, flight)) {
			return;
		}
		final boolean mayStart = nowNanos - flight.earliestStartNanos >= 0;
		final Optional<TargetLoad> chosen = mayStart ? this.selector.select(nowNanos, flight) : Optional.empty();
		if (chosen.isPresent()) {
			start(nowNanos, flight, chosen.get());
		}
		else {
			this.redispatchQueue.add(flight);
		}
	}

	private void start(long nowNanos, ActiveRequest flight, TargetLoad load) {
		flight.startedAttempts++;
		// Counted as sent before a byte can leave: a crash in between must not read as
		// "not run".
		flight.sentAttempts++;
		flight.liveAttempt = new AttemptId(flight.info.requestId(), flight.startedAttempts);
		flight.target = load.view();
		flight.load = load;
		flight.resumedFromTokens = flight.tokensDelivered;
		flight.triedTargetIds.add(load.view().targetId());
		flight.attemptStartedAtNanos = nowNanos;
		flight.attemptHasOutput = false;
		flight.progressAtNanos = nowNanos;
		load.onStart(nowNanos, flight.info.costTokens());
		this.isolation.onStart(flight);
		this.targets.refresh(nowNanos, flight.info, load);
		this.policies.placement().onPlaced(nowNanos, flight.info, load);
		this.activeRequests.addAction(new TrafficAction.Start(flight.liveAttempt, load.view(), flight.tokensDelivered));
	}

}
