package org.pistachioline.daemon.relay;

import java.util.concurrent.TimeUnit;

import org.pistachioline.adapters.web.CallerListener;
import org.pistachioline.adapters.web.WebAnswer;
import org.pistachioline.core.error.ErrorKind;
import org.pistachioline.core.error.RunState;
import org.pistachioline.core.event.EventId;
import org.pistachioline.core.record.KeyOutcome;
import org.pistachioline.core.traffic.AttemptId;
import org.pistachioline.core.traffic.AttemptOutcome;
import org.pistachioline.core.traffic.RequestInfo;
import org.pistachioline.core.traffic.TrafficAction;
import org.pistachioline.daemon.event.Events;
import org.pistachioline.daemon.port.RelayedRequest;
import org.pistachioline.daemon.traffic.AttemptListener;
import org.pistachioline.daemon.traffic.Exchange;

/**
 * One caller's request on its way to a target and back.
 * <p>
 * The traffic duty says which target, when to stop and when to give up; this carries it
 * out. All of its state belongs to the loop's thread, to which each order of the traffic
 * duty is handed over in turn.
 */
final class RelayExchange implements Exchange, CallerListener {

	private final RequestInfo info;

	private final RelayedRequest request;

	private final boolean streaming;

	private final RelayContext context;

	private final CallerResponse response;

	private final StreamPosition position;

	private final long arrivedAtNanos = System.nanoTime();

	private RelayAttempt currentAttempt;

	private TargetResponse completeResponse;

	private TargetResponse failureResponse;

	private int attemptCount;

	private String lastTargetId = "";

	private boolean callerDisconnected;

	RelayExchange(RequestInfo info, RelayedRequest call, boolean streaming, RelayContext tools, CallerResponse answer) {
		this.info = info;
		this.request = call;
		this.streaming = streaming;
		this.context = tools;
		this.response = answer;
		this.position = new StreamPosition(call.metadata().lastEventId());
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
		if (this.callerDisconnected) {
			// The order to send was on its way when the caller left. On a daemon that
			// runs
			// late that is most of a second, and the target would work for nobody.
			listener.onEnd(start.attempt(), AttemptOutcome.CANCELLED, this.position.deliveredEvents());
			return;
		}
		if (!this.context.backoffGate().maySend(start.target().targetId())) {
			listener.onEnd(start.attempt(), AttemptOutcome.WITHHELD, this.position.deliveredEvents());
			return;
		}
		final long leftMillis = Math.max(1,
				TimeUnit.NANOSECONDS.toMillis(this.info.totalDeadlineNanos() - System.nanoTime()));
		this.attemptCount++;
		if (this.attemptCount > 1) {
			Events.log(EventId.REQUEST_RETRIED, "request", this.request.metadata().requestId(), "attempt",
					this.attemptCount, "from", this.lastTargetId, "to", start.target().targetId(), "events",
					start.resumeFromTokens(), "left_millis", leftMillis);
		}
		this.lastTargetId = start.target().targetId();
		this.currentAttempt = new RelayAttempt(this, start, listener);
		this.currentAttempt.send(leftMillis);
	}

	/**
	 * Keeps a target's whole answer until the traffic duty has decided.
	 * @param whole the answer
	 * @param how how the attempt ended
	 */
	void storeResponse(TargetResponse whole, AttemptOutcome how) {
		if (how == AttemptOutcome.COMPLETE) {
			this.completeResponse = whole;
		}
		else {
			this.failureResponse = whole;
		}
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
			if (this.completeResponse != null) {
				this.response.sendComplete(this.completeResponse.response());
			}
			else {
				this.response.finishStream();
			}
		});
	}

	@Override
	public void fail(ErrorKind kind, RunState runState, long retryAfterMillis) {
		this.context.loop().execute(() -> sendFailure(kind, runState, retryAfterMillis));
	}

	private void sendFailure(ErrorKind kind, RunState runState, long retryAfterMillis) {
		// A target's own word of what went wrong is worth more than ours, unless it would
		// promise that the request has not run.
		final boolean passOn = kind == ErrorKind.TARGET_FAILED && this.failureResponse != null
				&& !this.failureResponse.promisesNotRun();
		final WebAnswer failed = passOn ? this.failureResponse.response() : RelayErrorResponses
			.of(this.request.metadata().requestId(), kindConsistentWith(kind, runState), runState, retryAfterMillis);
		final boolean whole = this.response.fail(failed);
		if (kind != ErrorKind.CALLER_GONE) {
			Events.log(EventId.REQUEST_FAILED, "request", this.request.metadata().requestId(), "kind", kind.code(),
					"run", runState.headerValue(), "status", whole ? failed.status() : 0, "name", this.info.name(),
					"workspace", this.info.workspace(), "fingerprint", this.info.fingerprint(), "attempts",
					this.attemptCount, "last_target", this.lastTargetId, "events", this.position.deliveredEvents(),
					"held_millis", TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.arrivedAtNanos),
					"retry_after_millis", retryAfterMillis);
		}
	}

	// A status that promises that the request has not run must be true.
	private static ErrorKind kindConsistentWith(ErrorKind kind, RunState runState) {
		return (kind.promisesNotRun() && runState != RunState.NOT_RUN) ? ErrorKind.TARGET_FAILED : kind;
	}

	@Override
	public void replay(KeyOutcome outcome) {
		fail(ErrorKind.INTERNAL, RunState.UNKNOWN, 0);
	}

	@Override
	public void onGone() {
		this.callerDisconnected = true;
		// Told first: an attempt that ends while the traffic duty still holds the request
		// is sent to another target, for nobody.
		this.context.disconnectListener().accept(this.info.requestId());
		// Not only by way of the traffic duty: the target works for nobody from now on.
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
