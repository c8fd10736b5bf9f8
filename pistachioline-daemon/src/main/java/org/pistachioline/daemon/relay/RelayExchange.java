package org.pistachioline.daemon.relay;

import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

import org.pistachioline.adapters.web.CallerListener;
import org.pistachioline.adapters.web.CloseCause;
import org.pistachioline.adapters.web.WebAnswer;
import org.pistachioline.core.error.ErrorKind;
import org.pistachioline.core.error.RunState;
import org.pistachioline.core.event.EventId;
import org.pistachioline.core.record.KeyOutcome;
import org.pistachioline.core.traffic.AttemptId;
import org.pistachioline.core.traffic.AttemptOutcome;
import org.pistachioline.core.traffic.FailureReason;
import org.pistachioline.core.traffic.RequestInfo;
import org.pistachioline.core.traffic.TrafficAction;
import org.pistachioline.daemon.event.Events;
import org.pistachioline.daemon.port.RelayedRequest;
import org.pistachioline.daemon.traffic.AttemptListener;
import org.pistachioline.daemon.traffic.Exchange;

/**
 * Relays one caller's request to targets and the response back.
 * <p>
 * The traffic duty selects the targets and decides when to cancel an attempt or to fail
 * the request; this class executes its commands. All state is confined to the event loop,
 * to which each command is handed over in order.
 */
final class RelayExchange implements Exchange, CallerListener {

	private final RequestInfo info;

	private final RelayedRequest request;

	private final boolean streaming;

	private final RelayContext context;

	private final CallerResponse response;

	private final StreamPosition position;

	private final long arrivedAtNanos = System.nanoTime();

	private final AttemptHistory history = new AttemptHistory(this.arrivedAtNanos);

	private RelayAttempt currentAttempt;

	private TargetResponse completeResponse;

	private TargetResponse failureResponse;

	private int attemptCount;

	private String lastTargetId = "";

	private boolean mismatched;

	private boolean callerDisconnected;

	private boolean incompleteLogged;

	RelayExchange(RequestInfo info, RelayedRequest request, boolean streaming, RelayContext context,
			CallerResponse response) {
		this.info = info;
		this.request = request;
		this.streaming = streaming;
		this.context = context;
		this.response = response;
		this.position = new StreamPosition(request.metadata().lastEventId());
	}

	@Override
	public RequestInfo info() {
		return this.info;
	}

	RelayedRequest request() {
		return this.request;
	}

	RelayContext context() {
		return this.context;
	}

	CallerResponse response() {
		return this.response;
	}

	AttemptHistory history() {
		return this.history;
	}

	StreamPosition position() {
		return this.position;
	}

	boolean streaming() {
		return this.streaming;
	}

	@Override
	public void start(TrafficAction.Start start, AttemptListener listener) {
		this.context.loop().execute(() -> startAttempt(start, listener));
	}

	private void startAttempt(TrafficAction.Start start, AttemptListener listener) {
		if (!callerWaits()) {
			// The caller disconnected while the start command was queued, which takes up
			// to a second on an overloaded daemon. Sent anyway, the request would make
			// the target work for a caller who is gone.
			listener.onEnd(start.attempt(), AttemptOutcome.CANCELLED, this.position.deliveredEvents());
			return;
		}
		if (!this.context.backoffGate().maySend(start.target().targetId())) {
			this.history.onEnd(start.target().targetId(), AttemptOutcome.WITHHELD);
			listener.onEnd(start.attempt(), AttemptOutcome.WITHHELD, this.position.deliveredEvents());
			return;
		}
		final long remainingMillis = Math.max(1,
				TimeUnit.NANOSECONDS.toMillis(this.info.totalDeadlineNanos() - System.nanoTime()));
		this.attemptCount++;
		if (this.attemptCount > 1) {
			Events.log(EventId.REQUEST_RETRIED, "request", this.request.metadata().requestId(), "attempt",
					this.attemptCount, "from", this.lastTargetId, "to", start.target().targetId(), "events",
					start.resumeFromTokens(), "left_millis", remainingMillis, "from_connection",
					this.currentAttempt.connection().number());
		}
		this.lastTargetId = start.target().targetId();
		this.currentAttempt = new RelayAttempt(this, start, listener);
		this.currentAttempt.send(remainingMillis);
	}

	/**
	 * Records that an attempt got an answer to another request.
	 */
	void onMismatch() {
		this.mismatched = true;
	}

	/**
	 * Returns whether the next attempt must not go on a connection that was used before.
	 * @return true for a request that must not run twice, and for one that has already
	 * met an answer to another request on its connection
	 */
	boolean needsNewConnection() {
		return !this.info.idempotent() || this.mismatched;
	}

	/**
	 * Returns whether the caller is still connected. A close that the loop has not read
	 * yet is noticed too.
	 * @return whether a target may work for it
	 */
	boolean callerWaits() {
		return !this.callerDisconnected && this.response.callerWaits();
	}

	/**
	 * Stores a target's complete response until the traffic duty has decided about the
	 * request.
	 * @param targetResponse the response
	 * @param outcome the outcome of the attempt
	 */
	void storeResponse(TargetResponse targetResponse, AttemptOutcome outcome) {
		if (outcome == AttemptOutcome.COMPLETE) {
			this.completeResponse = replaced(this.completeResponse, targetResponse);
		}
		else {
			this.failureResponse = replaced(this.failureResponse, targetResponse);
		}
	}

	private TargetResponse replaced(TargetResponse earlier, TargetResponse later) {
		if (earlier != null) {
			this.response.hold(-earlier.bodyBytes());
		}
		this.response.hold(later.bodyBytes());
		return later;
	}

	private void forgetResponses() {
		this.completeResponse = null;
		this.failureResponse = null;
	}

	@Override
	public void cancel(AttemptId attempt) {
		this.context.loop().execute(() -> {
			if (this.currentAttempt != null && this.currentAttempt.id().equals(attempt)) {
				this.currentAttempt.cancel();
			}
		});
	}

	@Override
	public void finish() {
		this.context.loop().execute(() -> {
			// Not expected: no whole response follows a stream's events.
			final boolean sent = (this.completeResponse != null)
					? this.response.sendComplete(this.completeResponse.response()) : this.response.finishStream();
			if (!sent && !this.callerDisconnected) {
				sendFailure(ErrorKind.INTERNAL, RunState.UNKNOWN, 0, FailureReason.INTERNAL);
			}
			forgetResponses();
		});
	}

	@Override
	public void fail(ErrorKind kind, RunState runState, long retryAfterMillis) {
		fail(new TrafficAction.Fail(this.info.requestId(), kind, runState, retryAfterMillis, FailureReason.INTERNAL));
	}

	@Override
	public void fail(TrafficAction.Fail failure) {
		this.context.loop()
			.execute(() -> sendFailure(failure.kind(), failure.runState(), failure.retryAfterMillis(),
					failure.reason()));
	}

	private void sendFailure(ErrorKind kind, RunState runState, long retryAfterMillis, FailureReason reason) {
		// A target's own error response is more informative than the daemon's, unless
		// its status would promise that the request has not run.
		final boolean useTargetResponse = kind == ErrorKind.TARGET_FAILED && this.failureResponse != null
				&& !this.failureResponse.promisesNotRun();
		final WebAnswer failure = useTargetResponse ? this.failureResponse.response() : RelayErrorResponses
			.of(this.request.metadata().requestId(), kindConsistentWith(kind, runState), runState, retryAfterMillis);
		final boolean callerWaited = callerWaits();
		final boolean responseSent = this.response.fail(failure);
		forgetResponses();
		if (!responseSent && callerWaited && kind != ErrorKind.CALLER_GONE) {
			logIncomplete(reason.code());
		}
		if (kind != ErrorKind.CALLER_GONE) {
			Events.log(EventId.REQUEST_FAILED, "request", this.request.metadata().requestId(), "kind", kind.code(),
					"reason", reason.code(), "run", runState.headerValue(), "status",
					responseSent ? failure.status() : 0, "name", this.info.name(), "workspace", this.info.workspace(),
					"fingerprint", this.info.fingerprint(), "parts",
					(kind == ErrorKind.QUARANTINED) ? this.info.sharedPromptParts() : List.of(), "attempts",
					this.attemptCount, "last_target", this.lastTargetId, "events", this.position.deliveredEvents(),
					"held_millis", TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.arrivedAtNanos),
					"retry_after_millis", retryAfterMillis);
		}
	}

	private void logIncomplete(String reason) {
		if (this.incompleteLogged) {
			return;
		}
		this.incompleteLogged = true;
		final long nowNanos = System.nanoTime();
		final boolean running = this.currentAttempt != null && !this.currentAttempt.hasEnded();
		this.context.incompleteResponses()
			.log(new IncompleteResponse(this.request.metadata().requestId(), reason, this.lastTargetId,
					this.position.deliveredEvents(), this.history.summary(running ? this.lastTargetId : ""),
					OptionalLong.of(this.history.silentMillis(nowNanos)),
					OptionalLong.of(TimeUnit.NANOSECONDS.toMillis(this.info.totalDeadlineNanos() - nowNanos))));
	}

	// Callers retry on a status that promises that the request has not run, so the
	// daemon sends it only if that is certain.
	private static ErrorKind kindConsistentWith(ErrorKind kind, RunState runState) {
		return (kind.promisesNotRun() && runState != RunState.NOT_RUN) ? ErrorKind.TARGET_FAILED : kind;
	}

	@Override
	public void replay(KeyOutcome outcome) {
		fail(ErrorKind.INTERNAL, RunState.UNKNOWN, 0);
	}

	@Override
	public void onClosing(CloseCause cause) {
		logIncomplete(cause.code());
	}

	@Override
	public void onGone() {
		this.callerDisconnected = true;
		// Reported before the attempt is cancelled: if the attempt ended first, the
		// traffic duty would still hold the request and send it to another target.
		this.context.disconnectListener().accept(this.info.requestId());
		// Cancelled here rather than through the traffic duty, so that the target stops
		// working on the abandoned request without delay.
		if (this.currentAttempt != null) {
			this.currentAttempt.cancel();
		}
	}

	@Override
	public void onWritable(boolean writable) {
		if (this.currentAttempt != null) {
			this.currentAttempt.onCallerWritable(writable);
		}
	}

}
