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
import org.pistachioline.daemon.port.RelayedCall;
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

	private final RelayedCall call;

	private final boolean streaming;

	private final RelayTools tools;

	private final CallerAnswer answer;

	private final StreamPosition position;

	private final long arrivedAtNanos = System.nanoTime();

	private RelayAttempt live;

	private TargetAnswer complete;

	private TargetAnswer failure;

	private int attempts;

	private String lastTargetId = "";

	private boolean gone;

	RelayExchange(RequestInfo info, RelayedCall call, boolean streaming, RelayTools tools, CallerAnswer answer) {
		this.info = info;
		this.call = call;
		this.streaming = streaming;
		this.tools = tools;
		this.answer = answer;
		this.position = new StreamPosition(call.head().lastEventId());
	}

	@Override
	public RequestInfo info() {
		return this.info;
	}

	RelayedCall call() {
		return this.call;
	}

	RelayTools tools() {
		return this.tools;
	}

	CallerAnswer answer() {
		return this.answer;
	}

	StreamPosition position() {
		return this.position;
	}

	boolean streaming() {
		return this.streaming;
	}

	@Override
	public void start(TrafficAction.Start start, AttemptListener listener) {
		this.tools.loop().execute(() -> begin(start, listener));
	}

	private void begin(TrafficAction.Start start, AttemptListener listener) {
		if (this.gone) {
			// The order to send was on its way when the caller left. On a daemon that
			// runs
			// late that is most of a second, and the target would work for nobody.
			listener.onEnd(start.attempt(), AttemptOutcome.CANCELLED, this.position.events());
			return;
		}
		if (!this.tools.gate().maySend(start.target().targetId())) {
			listener.onEnd(start.attempt(), AttemptOutcome.WITHHELD, this.position.events());
			return;
		}
		final long leftMillis = Math.max(1,
				TimeUnit.NANOSECONDS.toMillis(this.info.totalDeadlineNanos() - System.nanoTime()));
		this.attempts++;
		if (this.attempts > 1) {
			Events.log(EventId.REQUEST_RETRIED, "request", this.call.head().requestId(), "attempt", this.attempts,
					"from", this.lastTargetId, "to", start.target().targetId(), "events", start.resumeFromTokens(),
					"left_millis", leftMillis);
		}
		this.lastTargetId = start.target().targetId();
		this.live = new RelayAttempt(this, start, listener);
		this.live.send(leftMillis);
	}

	/**
	 * Keeps a target's whole answer until the traffic duty has decided.
	 * @param whole the answer
	 * @param how how the attempt ended
	 */
	void keep(TargetAnswer whole, AttemptOutcome how) {
		if (how == AttemptOutcome.COMPLETE) {
			this.complete = whole;
		}
		else {
			this.failure = whole;
		}
	}

	@Override
	public void cancel(AttemptId attempt) {
		this.tools.loop().execute(() -> {
			if (this.live != null && this.live.id().equals(attempt)) {
				this.live.cancel();
			}
		});
	}

	@Override
	public void finish() {
		this.tools.loop().execute(() -> {
			if (this.complete != null) {
				this.answer.whole(this.complete.answer());
			}
			else {
				this.answer.finish();
			}
		});
	}

	@Override
	public void fail(ErrorKind kind, RunState runState, long retryAfterMillis) {
		this.tools.loop().execute(() -> giveUp(kind, runState, retryAfterMillis));
	}

	private void giveUp(ErrorKind kind, RunState runState, long retryAfterMillis) {
		// A target's own word of what went wrong is worth more than ours, unless it would
		// promise that the request has not run.
		final boolean passOn = kind == ErrorKind.TARGET_FAILED && this.failure != null
				&& !this.failure.promisesNotRun();
		final WebAnswer failed = passOn ? this.failure.answer()
				: RelayAnswers.of(this.call.head().requestId(), kindFor(kind, runState), runState, retryAfterMillis);
		final boolean whole = this.answer.fail(failed);
		if (kind != ErrorKind.CALLER_GONE) {
			Events.log(EventId.REQUEST_FAILED, "request", this.call.head().requestId(), "kind", kind.code(), "run",
					runState.headerValue(), "status", whole ? failed.status() : 0, "name", this.info.name(),
					"workspace", this.info.workspace(), "fingerprint", this.info.fingerprint(), "attempts",
					this.attempts, "last_target", this.lastTargetId, "events", this.position.events(), "held_millis",
					TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - this.arrivedAtNanos), "retry_after_millis",
					retryAfterMillis);
		}
	}

	// A status that promises that the request has not run must be true.
	private static ErrorKind kindFor(ErrorKind kind, RunState runState) {
		return (kind.promisesNotRun() && runState != RunState.NOT_RUN) ? ErrorKind.TARGET_FAILED : kind;
	}

	@Override
	public void replay(KeyOutcome outcome) {
		fail(ErrorKind.INTERNAL, RunState.UNKNOWN, 0);
	}

	@Override
	public void onGone() {
		this.gone = true;
		// Told first: an attempt that ends while the traffic duty still holds the request
		// is sent to another target, for nobody.
		this.tools.callerGone().accept(this.info.requestId());
		// Not only by way of the traffic duty: the target works for nobody from now on.
		if (this.live != null) {
			this.live.cancel();
		}
	}

	@Override
	public void onWritable(boolean writable) {
		if (this.live != null) {
			this.live.callerTakesMore(writable);
		}
	}

}
