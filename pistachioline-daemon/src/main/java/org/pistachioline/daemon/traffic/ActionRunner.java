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
 * calls it, but for {@link #settle}, {@link #onStalled} and {@link #failures}.
 */
final class ActionRunner {

	private final Claims claims;

	private final ClaimBook claimBook;

	private final KillerSink killers;

	private final TraceRecorder recorder;

	private final AttemptListener listener;

	private final Consumer<TrafficMessage.Claimed> claimed;

	private final Map<Long, Exchange> exchanges = new HashMap<>();

	private final FailureCounts failures = new FailureCounts();

	private volatile Consumer<String> stalledTargets = (targetId) -> {
	};

	/**
	 * Creates a runner without requests.
	 * @param claims makes claims
	 * @param killers shares which requests groups died under
	 * @param recorder keeps recent arrivals, where that is set
	 * @param listener hears how attempts go
	 * @param claimed takes verdicts on claims, on any thread
	 */
	ActionRunner(Claims claims, KillerSink killers, TraceRecorder recorder, AttemptListener listener,
			Consumer<TrafficMessage.Claimed> claimed) {
		this.claims = claims;
		this.claimBook = new ClaimBook(claims);
		this.killers = killers;
		this.recorder = recorder;
		this.listener = listener;
		this.claimed = claimed;
	}

	void onStalled(Consumer<String> receiver) {
		this.stalledTargets = receiver;
	}

	FailureCounts failures() {
		return this.failures;
	}

	void add(Exchange exchange) {
		this.exchanges.put(exchange.info().requestId(), exchange);
	}

	void noteClaim(TrafficMessage.Claimed verdict) {
		this.claimBook.note(verdict, this.exchanges.containsKey(verdict.requestId()));
	}

	void forgetOutcome(long requestId) {
		this.claimBook.forgetOutcome(requestId);
	}

	void settle(Exchange exchange, int status, String contentType, String body) {
		this.claimBook.settle(exchange, status, contentType, body);
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
			this.stalledTargets.accept(stalled.targetId());
			return;
		}
		if (action instanceof TrafficAction.Release release) {
			this.claimBook.release(release);
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
			forget(finish.requestId());
		}
		else if (action instanceof TrafficAction.Fail fail) {
			this.failures.add(exchange.info().workspace(), fail.kind());
			this.claimBook.settleUnknown(exchange, fail);
			forget(fail.requestId());
			exchange.fail(fail.kind(), fail.runState(), fail.retryAfterMillis());
		}
		else if (action instanceof TrafficAction.Claim claim) {
			this.claims.claim(claim.info())
				.thenAccept((result) -> this.claimed.accept(new TrafficMessage.Claimed(claim.requestId(), result)));
		}
		else if (action instanceof TrafficAction.Replay replay) {
			forget(replay.requestId());
			replay(exchange);
		}
		else if (action instanceof TrafficAction.ReportSuspect suspect) {
			this.killers.report(suspect, System.currentTimeMillis());
			Events.log(suspect.quarantine() ? EventId.REQUEST_QUARANTINED : EventId.REQUEST_SUSPECTED, "fingerprint",
					suspect.fingerprint(), "target", suspect.target().targetId());
		}
	}

	private void replay(Exchange exchange) {
		final Optional<KeyOutcome> outcome = this.claimBook.outcome(exchange.info().requestId());
		if (outcome.isPresent()) {
			exchange.replay(outcome.get());
		}
		else {
			exchange.fail(ErrorKind.OUTCOME_UNKNOWN, RunState.UNKNOWN, 0);
		}
	}

	private void forget(long requestId) {
		this.recorder.ended(requestId);
		this.exchanges.remove(requestId);
		this.claimBook.forget(requestId);
	}

}
