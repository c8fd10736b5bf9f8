package org.pistachioline.daemon.traffic;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import org.pistachioline.core.error.ErrorKind;
import org.pistachioline.core.error.RunState;
import org.pistachioline.core.event.EventId;
import org.pistachioline.core.record.KeyOutcome;
import org.pistachioline.core.traffic.TrafficAction;
import org.pistachioline.daemon.claims.Claims;
import org.pistachioline.daemon.event.Events;

/**
 * Executes the actions of the traffic core for the requests that have not ended. It is
 * confined to the traffic duty's thread, except for {@link #settle},
 * {@link #setStallListener} and {@link #failures}.
 */
final class ActionRunner {

	private final Claims claims;

	private final RequestClaims requestClaims;

	private final SuspectReporter suspectReporter;

	private final TraceRecorder recorder;

	private final AttemptListener listener;

	private final Consumer<TrafficMessage.ClaimDecided> claimResults;

	private final Map<Long, Exchange> exchanges = new HashMap<>();

	private final FailureCounts failures = new FailureCounts();

	private volatile Consumer<String> stallListener = (targetId) -> {
	};

	/**
	 * Creates a runner without requests.
	 * @param claims claims idempotency keys
	 * @param suspectReporter receives the requests that were running when a group crashed
	 * @param recorder records recent arrivals, if that is enabled
	 * @param listener receives the progress and the end of attempts
	 * @param claimResults receives the results of claims, on any thread
	 */
	ActionRunner(Claims claims, SuspectReporter suspectReporter, TraceRecorder recorder, AttemptListener listener,
			Consumer<TrafficMessage.ClaimDecided> claimResults) {
		this.claims = claims;
		this.requestClaims = new RequestClaims(claims);
		this.suspectReporter = suspectReporter;
		this.recorder = recorder;
		this.listener = listener;
		this.claimResults = claimResults;
	}

	void setStallListener(Consumer<String> receiver) {
		this.stallListener = receiver;
	}

	FailureCounts failures() {
		return this.failures;
	}

	void add(Exchange exchange) {
		this.exchanges.put(exchange.info().requestId(), exchange);
	}

	void onClaimResult(TrafficMessage.ClaimDecided decided) {
		this.requestClaims.recordResult(decided, this.exchanges.containsKey(decided.requestId()));
	}

	void removeOutcome(long requestId) {
		this.requestClaims.removeOutcome(requestId);
	}

	void settle(Exchange exchange, int status, String contentType, String body) {
		this.requestClaims.settle(exchange, status, contentType, body);
	}

	void run(List<TrafficAction> actions) {
		actions.forEach(this::runGuarded);
	}

	private void runGuarded(TrafficAction action) {
		try {
			run(action);
		}
		catch (RuntimeException ex) {
			// The remaining actions concern other requests, which would hang.
			Events.log(EventId.REQUEST_INTERNAL_ERROR, ex, "request", action.requestId());
		}
	}

	private void run(TrafficAction action) {
		if (action instanceof TrafficAction.ReportStall stall) {
			this.stallListener.accept(stall.targetId());
			return;
		}
		// A claim that is granted too late is released after its request has ended.
		if (action instanceof TrafficAction.Release release) {
			this.requestClaims.release(release);
			return;
		}
		final Exchange exchange = this.exchanges.get(action.requestId());
		if (exchange != null) {
			run(action, exchange);
		}
	}

	private void run(TrafficAction action, Exchange exchange) {
		if (action instanceof TrafficAction.Start start) {
			exchange.start(start, this.listener);
		}
		else if (action instanceof TrafficAction.Cancel cancel) {
			exchange.cancel(cancel.attempt());
		}
		else if (action instanceof TrafficAction.Finish finish) {
			exchange.finish();
			removeRequest(finish.requestId());
		}
		else if (action instanceof TrafficAction.Fail fail) {
			this.failures.add(exchange.info().workspace(), fail.kind(), fail.reason());
			this.requestClaims.settleUnknown(exchange, fail);
			removeRequest(fail.requestId());
			exchange.fail(fail);
		}
		else if (action instanceof TrafficAction.Claim claim) {
			this.claims.claim(claim.info())
				.thenAccept((result) -> this.claimResults
					.accept(new TrafficMessage.ClaimDecided(claim.requestId(), result)));
		}
		else if (action instanceof TrafficAction.Replay replay) {
			removeRequest(replay.requestId());
			replay(exchange);
		}
		else if (action instanceof TrafficAction.ReportSuspect suspect) {
			this.suspectReporter.report(suspect, System.currentTimeMillis());
			Events.log(suspect.quarantine() ? EventId.REQUEST_QUARANTINED : EventId.REQUEST_SUSPECTED, "fingerprint",
					suspect.fingerprint(), "target", suspect.target().targetId());
		}
	}

	private void replay(Exchange exchange) {
		final Optional<KeyOutcome> outcome = this.requestClaims.storedOutcome(exchange.info().requestId());
		if (outcome.isPresent()) {
			exchange.replay(outcome.get());
		}
		else {
			exchange.fail(ErrorKind.OUTCOME_UNKNOWN, RunState.UNKNOWN, 0);
		}
	}

	private void removeRequest(long requestId) {
		this.recorder.onEnd(requestId);
		this.exchanges.remove(requestId);
		this.requestClaims.remove(requestId);
	}

}
