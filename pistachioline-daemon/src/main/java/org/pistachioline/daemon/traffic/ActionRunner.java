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
 * Carries out what the core decides, for the requests that have not ended. One thread
 * calls it, but for {@link #settle}, {@link #setStallListener} and {@link #failures}.
 */
final class ActionRunner {

	private final Claims claims;

	private final RequestClaims requestClaims;

	private final SuspectReporter suspectReporter;

	private final TraceRecorder recorder;

	private final AttemptListener listener;

	private final Consumer<TrafficMessage.Claimed> claimResults;

	private final Map<Long, Exchange> exchanges = new HashMap<>();

	private final FailureCounts failures = new FailureCounts();

	private volatile Consumer<String> stallListener = (targetId) -> {
	};

	/**
	 * Creates a runner without requests.
	 * @param claims makes claims
	 * @param killers shares which requests groups died under
	 * @param recorder keeps recent arrivals, where that is set
	 * @param listener hears how attempts go
	 * @param claimed takes verdicts on claims, on any thread
	 */
	ActionRunner(Claims claims, SuspectReporter killers, TraceRecorder recorder, AttemptListener listener,
			Consumer<TrafficMessage.Claimed> claimed) {
		this.claims = claims;
		this.requestClaims = new RequestClaims(claims);
		this.suspectReporter = killers;
		this.recorder = recorder;
		this.listener = listener;
		this.claimResults = claimed;
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

	void onClaimResult(TrafficMessage.Claimed verdict) {
		this.requestClaims.recordResult(verdict, this.exchanges.containsKey(verdict.requestId()));
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
			// The actions after this one are other requests'; left out, those would hang.
			Events.log(EventId.REQUEST_INTERNAL_ERROR, ex, "request", action.requestId());
		}
	}

	private void run(TrafficAction action) {
		// A claim that was granted too late is given back after its request has ended.
		if (action instanceof TrafficAction.ReportStall stalled) {
			this.stallListener.accept(stalled.targetId());
			return;
		}
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
			this.failures.add(exchange.info().workspace(), fail.kind());
			this.requestClaims.settleUnknown(exchange, fail);
			removeRequest(fail.requestId());
			exchange.fail(fail.kind(), fail.runState(), fail.retryAfterMillis());
		}
		else if (action instanceof TrafficAction.Claim claim) {
			this.claims.claim(claim.info())
				.thenAccept(
						(result) -> this.claimResults.accept(new TrafficMessage.Claimed(claim.requestId(), result)));
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
