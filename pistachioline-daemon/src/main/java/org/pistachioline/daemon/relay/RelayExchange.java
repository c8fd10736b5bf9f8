package org.pistachioline.daemon.relay;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.apache.pekko.NotUsed;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.stream.KillSwitches;
import org.apache.pekko.stream.UniqueKillSwitch;
import org.apache.pekko.stream.javadsl.Keep;
import org.apache.pekko.stream.javadsl.Source;
import org.apache.pekko.util.ByteString;

import org.pistachioline.adapters.http.NotConnectedException;
import org.pistachioline.adapters.http.PendingCall;
import org.pistachioline.core.error.ErrorKind;
import org.pistachioline.core.error.RunState;
import org.pistachioline.core.event.EventId;
import org.pistachioline.core.record.KeyOutcome;
import org.pistachioline.core.traffic.AttemptEnd;
import org.pistachioline.core.traffic.AttemptId;
import org.pistachioline.core.traffic.RequestInfo;
import org.pistachioline.core.traffic.TrafficAction;
import org.pistachioline.daemon.event.Events;
import org.pistachioline.daemon.port.AnswerVerdict;
import org.pistachioline.daemon.port.RelayedCall;
import org.pistachioline.daemon.traffic.AttemptListener;
import org.pistachioline.daemon.traffic.Exchange;

/**
 * One caller's request on its way to a target and back.
 * <p>
 * The traffic duty says which target, when to stop and when to give up; this carries it
 * out. Each attempt has a connection to itself, and giving an attempt up closes it, so
 * that the target drops the work and nothing of it can reach a later request.
 */
final class RelayExchange implements Exchange {

	private static final int OK = 200;

	/** No whole answer of a target is larger; more would fill this process's memory. */
	private static final long MOST_ANSWER_BYTES = 16L * 1024 * 1024;

	private final RequestInfo info;

	private final RelayedCall call;

	private final boolean streaming;

	private final RelayTools tools;

	private final CallerAnswer answer;

	private final StreamPosition position;

	private final long arrivedAtNanos = System.nanoTime();

	private LiveAttempt live;

	private TargetAnswer complete;

	private TargetAnswer failure;

	private int attempts;

	private String lastTargetId = "";

	RelayExchange(RequestInfo info, RelayedCall call, boolean streaming, RelayTools tools) {
		this.info = info;
		this.call = call;
		this.streaming = streaming;
		this.tools = tools;
		this.position = new StreamPosition(call.head().lastEventId());
		this.answer = new CallerAnswer(tools.system(), () -> tools.callerGone().accept(info.requestId()));
	}

	@Override
	public RequestInfo info() {
		return this.info;
	}

	CallerAnswer answer() {
		return this.answer;
	}

	@Override
	public void start(TrafficAction.Start start, AttemptListener listener) {
		final long leftMillis = TimeUnit.NANOSECONDS.toMillis(this.info.totalDeadlineNanos() - System.nanoTime());
		final HttpRequest request = this.tools.dialect()
			.toTarget(this.call, start.target(), Math.max(1, leftMillis), this.position.lastEventId());
		final LiveAttempt attempt = new LiveAttempt(start, listener);
		synchronized (this) {
			this.live = attempt;
			this.attempts++;
		}
		if (this.attempts > 1) {
			Events.log(EventId.REQUEST_RESENT, "request", this.call.head().requestId(), "attempt", this.attempts,
					"from", this.lastTargetId, "to", start.target().targetId(), "events", start.resumeFromTokens(),
					"left_millis", leftMillis);
		}
		this.lastTargetId = start.target().targetId();
		attempt.pending = this.tools.pool().send(start.target().address(), request, !this.info.idempotent());
		attempt.pending.answer().whenComplete((head, failed) -> {
			if (failed != null) {
				attempt.end((failed instanceof NotConnectedException) ? AttemptEnd.NOT_CONNECTED : AttemptEnd.BROKEN);
			}
			else {
				onHead(attempt, head);
			}
		});
	}

	private void onHead(LiveAttempt attempt, HttpResponse head) {
		if (!isLive(attempt.start.attempt())) {
			attempt.pending.abort();
			return;
		}
		this.tools.dialect()
			.load(head, System.nanoTime())
			.ifPresent((load) -> this.tools.loads().accept(attempt.start.target().targetId(), load));
		final AnswerVerdict verdict = this.tools.dialect().judge(this.call, head);
		switch (verdict) {
			case DECLINED -> {
				head.discardEntityBytes(this.tools.system());
				attempt.end(AttemptEnd.DECLINED);
			}
			case MISMATCHED -> {
				attempt.pending.abort();
				attempt.end(AttemptEnd.MISMATCHED);
			}
			case FAILURE -> collect(attempt, head, AttemptEnd.FAILURE_ANSWERED);
			case ANSWER -> {
				if (this.streaming && head.status().intValue() == OK) {
					relay(attempt, head);
				}
				else {
					collect(attempt, head, AttemptEnd.COMPLETE);
				}
			}
		}
	}

	private void relay(LiveAttempt attempt, HttpResponse head) {
		final Source<ByteString, UniqueKillSwitch> events = head.entity()
			.withoutSizeLimit()
			.getDataBytes()
			.viaMat(KillSwitches.single(), Keep.right())
			.via(new EventRelayStage(attempt.start.attempt(), this.position, attempt));
		final Source<ByteString, NotUsed> watched = events.mapMaterializedValue((killSwitch) -> {
			attempt.streaming(killSwitch);
			return NotUsed.getInstance();
		});
		this.answer.stream(head, watched);
	}

	private void collect(LiveAttempt attempt, HttpResponse head, AttemptEnd unlessBroken) {
		head.entity()
			.withSizeLimit(MOST_ANSWER_BYTES)
			.getDataBytes()
			.runFold(ByteString.emptyByteString(), ByteString::concat, this.tools.system())
			.whenComplete((body, failed) -> {
				if (failed != null) {
					attempt.end(AttemptEnd.BROKEN);
					return;
				}
				keep(attempt, TargetAnswer.of(head, body), unlessBroken);
				attempt.end(unlessBroken);
			});
	}

	private synchronized void keep(LiveAttempt attempt, TargetAnswer whole, AttemptEnd how) {
		if (this.live != attempt) {
			return;
		}
		if (how == AttemptEnd.COMPLETE) {
			this.complete = whole;
		}
		else {
			this.failure = whole;
		}
	}

	private synchronized boolean isLive(AttemptId attempt) {
		return this.live != null && attempt.equals(this.live.start.attempt());
	}

	@Override
	public void cancel(AttemptId attempt) {
		final LiveAttempt cancelled;
		synchronized (this) {
			if (!isLive(attempt)) {
				return;
			}
			cancelled = this.live;
			this.live = null;
		}
		cancelled.cancel();
	}

	@Override
	public void finish() {
		final TargetAnswer whole;
		synchronized (this) {
			whole = this.complete;
		}
		if (whole != null) {
			this.answer.whole(whole.toCaller());
		}
		else {
			this.answer.finish();
		}
	}

	@Override
	public void fail(ErrorKind kind, RunState runState, long retryAfterMillis) {
		final Optional<TargetAnswer> ownAnswer;
		synchronized (this) {
			ownAnswer = Optional.ofNullable(this.failure);
		}
		// A target's own word of what went wrong is worth more than ours, unless it would
		// promise that the request has not run.
		final boolean passOn = kind == ErrorKind.TARGET_FAILED
				&& ownAnswer.filter((given) -> !given.promisesNotRun()).isPresent();
		final HttpResponse failed = passOn ? ownAnswer.get().toCaller()
				: RelayAnswers.of(this.call.head().requestId(), kindFor(kind, runState), runState, retryAfterMillis);
		final boolean whole = this.answer.fail(failed);
		if (kind != ErrorKind.CALLER_GONE) {
			Events.log(EventId.REQUEST_FAILED, "request", this.call.head().requestId(), "kind", kind.code(), "run",
					runState.headerValue(), "status", whole ? failed.status().intValue() : 0, "name", this.info.name(),
					"workspace", this.info.workspace(), "attempts", this.attempts, "last_target", this.lastTargetId,
					"events", this.position.events(), "held_millis",
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

	/**
	 * One attempt; its end is told once.
	 */
	private final class LiveAttempt implements AttemptListener {

		private final TrafficAction.Start start;

		private final AttemptListener listener;

		private volatile PendingCall pending;

		private UniqueKillSwitch killSwitch;

		private boolean cancelled;

		private boolean ended;

		LiveAttempt(TrafficAction.Start start, AttemptListener listener) {
			this.start = start;
			this.listener = listener;
		}

		synchronized void streaming(UniqueKillSwitch events) {
			this.killSwitch = events;
			if (this.cancelled) {
				events.abort(new IllegalStateException("cancelled"));
			}
		}

		void cancel() {
			final UniqueKillSwitch events;
			synchronized (this) {
				this.cancelled = true;
				events = this.killSwitch;
			}
			if (events != null) {
				// The relay tells the end, with the exact place that the caller is at.
				events.abort(new IllegalStateException("cancelled"));
			}
			else {
				end(AttemptEnd.CANCELLED);
			}
			if (this.pending != null) {
				this.pending.abort();
			}
		}

		void end(AttemptEnd how) {
			onEnd(this.start.attempt(), how, RelayExchange.this.position.events());
		}

		@Override
		public void onProgress(AttemptId attempt, int tokensDelivered) {
			this.listener.onProgress(attempt, tokensDelivered);
		}

		@Override
		public void onEnd(AttemptId attempt, AttemptEnd how, int tokensDelivered) {
			synchronized (this) {
				if (this.ended) {
					return;
				}
				this.ended = true;
			}
			this.listener.onEnd(attempt, how, tokensDelivered);
		}

	}

}
