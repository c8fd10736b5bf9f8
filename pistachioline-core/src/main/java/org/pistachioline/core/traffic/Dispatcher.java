package org.pistachioline.core.traffic;

import java.util.Optional;

import org.pistachioline.core.error.ErrorKind;
import org.pistachioline.core.placement.TargetLoad;

/**
 * Takes requests out of the queue and starts their attempts.
 */
final class Dispatcher {

	private static final long RETRY_MILLIS = 1_000;

	private final TrafficPolicies policies;

	private final FlightBook flights;

	private final TargetBook targets;

	private final TargetChooser chooser;

	private final Isolation isolation;

	private final Resumptions resumptions;

	Dispatcher(TrafficPolicies policies, FlightBook flights, TargetBook targets, TargetChooser chooser,
			Isolation isolation, Resumptions resumptions) {
		this.policies = policies;
		this.flights = flights;
		this.targets = targets;
		this.chooser = chooser;
		this.isolation = isolation;
		this.resumptions = resumptions;
	}

	/**
	 * Starts what can start, after whatever may have made room.
	 * @param nowNanos the monotonic time
	 */
	void pump(long nowNanos) {
		for (final RequestInfo expired : this.policies.queue().expire(nowNanos)) {
			final Flight flight = this.flights.get(expired.requestId());
			if (flight != null) {
				flight.queued = false;
				this.flights.end(nowNanos, flight, ErrorKind.DEADLINE_UNREACHABLE, RETRY_MILLIS);
			}
		}
		this.resumptions.poll(nowNanos, this.chooser::hasChoice, (flight) -> dispatch(nowNanos, flight));
		Optional<RequestInfo> next = this.policies.queue().poll(nowNanos, this.targets::freeSlots);
		while (next.isPresent()) {
			final Flight flight = this.flights.get(next.get().requestId());
			if (flight != null) {
				flight.queued = false;
				dispatch(nowNanos, flight);
			}
			next = this.policies.queue().poll(nowNanos, this.targets::freeSlots);
		}
	}

	private void dispatch(long nowNanos, Flight flight) {
		if (endIfQuarantined(nowNanos, flight)) {
			return;
		}
		if (flight.info.claim().isNeeded() && flight.claimOffset < 0) {
			flight.claiming = true;
			this.flights.act(new TrafficAction.Claim(flight.info.requestId(), flight.info));
			return;
		}
		startOrWait(nowNanos, flight);
	}

	private boolean endIfQuarantined(long nowNanos, Flight flight) {
		final boolean quarantined = this.policies.killer().isQuarantined(flight.info.fingerprint());
		if (quarantined) {
			this.flights.end(nowNanos, flight, ErrorKind.QUARANTINED, 0);
		}
		return quarantined;
	}

	/**
	 * Starts a request's next attempt, or lets it wait for a target before the queue.
	 * @param nowNanos the monotonic time
	 * @param flight the request
	 */
	void startOrWait(long nowNanos, Flight flight) {
		if (endIfQuarantined(nowNanos, flight)) {
			return;
		}
		final boolean mayStart = nowNanos - flight.notBeforeNanos >= 0;
		final Optional<TargetLoad> chosen = mayStart ? this.chooser.choose(nowNanos, flight) : Optional.empty();
		if (chosen.isPresent()) {
			start(nowNanos, flight, chosen.get());
		}
		else {
			this.resumptions.add(flight);
		}
	}

	private void start(long nowNanos, Flight flight, TargetLoad load) {
		flight.attempts++;
		// Counted as sent before a byte can leave: a crash in between must not read as
		// "not run".
		flight.sentAttempts++;
		flight.liveAttempt = new AttemptId(flight.info.requestId(), flight.attempts);
		flight.target = load.view();
		flight.load = load;
		flight.resumedFromTokens = flight.tokensDelivered;
		flight.triedTargetIds.add(load.view().targetId());
		flight.startedAtNanos = nowNanos;
		flight.attemptRan = false;
		flight.progressAtNanos = nowNanos;
		load.onStart(nowNanos, flight.info.costTokens());
		this.isolation.onStart(flight);
		this.targets.refresh(nowNanos, flight.info, load);
		this.policies.placement().onPlaced(nowNanos, flight.info, load);
		this.flights.act(new TrafficAction.Start(flight.liveAttempt, load.view(), flight.tokensDelivered));
	}

}
