package org.pistachioline.daemon.relay;

import java.io.ByteArrayOutputStream;
import java.util.OptionalDouble;

import org.pistachioline.adapters.http.NotConnectedException;
import org.pistachioline.adapters.web.AnswerHead;
import org.pistachioline.adapters.web.AnswerReceiver;
import org.pistachioline.adapters.web.WebCall;
import org.pistachioline.core.event.EventId;
import org.pistachioline.core.traffic.AttemptId;
import org.pistachioline.core.traffic.AttemptOutcome;
import org.pistachioline.core.traffic.TrafficAction;
import org.pistachioline.daemon.event.Events;
import org.pistachioline.daemon.port.AnswerVerdict;
import org.pistachioline.daemon.port.RelayDialect;
import org.pistachioline.daemon.traffic.AttemptListener;

/**
 * One attempt at a target; its end is told once.
 * <p>
 * It has a connection to itself, and giving it up closes that connection, so that the
 * target drops the work and nothing of it can reach a later request.
 */
final class RelayAttempt implements AnswerReceiver {

	private static final int OK = 200;

	/** No whole answer of a target is larger; more would fill this process's memory. */
	private static final int MOST_ANSWER_BYTES = 16 * 1024 * 1024;

	/** A target that has given more was not crashed by what it read first. */
	private static final int FEW_EVENTS = 3;

	private final RelayExchange exchange;

	private final TrafficAction.Start start;

	private final AttemptListener listener;

	private final ByteArrayOutputStream body = new ByteArrayOutputStream();

	private WebCall call;

	private long sentAtNanos;

	private AnswerHead head;

	private AttemptOutcome unlessBroken;

	private EventRelay events;

	private boolean over;

	RelayAttempt(RelayExchange exchange, TrafficAction.Start start, AttemptListener listener) {
		this.exchange = exchange;
		this.start = start;
		this.listener = listener;
	}

	AttemptId id() {
		return this.start.attempt();
	}

	void send(long leftMillis) {
		final RelayTools tools = this.exchange.tools();
		this.sentAtNanos = System.nanoTime();
		this.call = tools.client()
			.send(this.start.target().address(),
					tools.dialect()
						.toTarget(this.exchange.call(), this.start.target(), leftMillis,
								this.exchange.position().lastEventId()),
					!this.exchange.info().idempotent(), this);
	}

	@Override
	public boolean onSending() {
		final boolean wanted = this.exchange.tools().gate().maySend(this.start.target().targetId());
		if (!wanted) {
			end(AttemptOutcome.WITHHELD);
		}
		return wanted;
	}

	@Override
	public void onHead(AnswerHead received) {
		final RelayDialect dialect = this.exchange.tools().dialect();
		this.head = received;
		dialect.load(received, System.nanoTime())
			.ifPresent((load) -> this.exchange.tools().targets().onLoad(this.start.target().targetId(), load));
		final AnswerVerdict verdict = dialect.judge(this.exchange.call(), received);
		hearLimit(verdict, dialect.requestLimit(received));
		if (verdict != AnswerVerdict.MISMATCHED) {
			hearBackoff(dialect, received);
		}
		switch (verdict) {
			case DECLINED -> expect(AttemptOutcome.DECLINED);
			case FAILURE -> expect(AttemptOutcome.FAILURE_ANSWERED);
			case MISMATCHED -> giveUp(AttemptOutcome.MISMATCHED);
			case ANSWER -> {
				expect(AttemptOutcome.COMPLETE);
				if (this.exchange.streaming() && received.status() == OK) {
					stream();
				}
			}
		}
	}

	// A refusal or a failure may leave the limit out, and an answer that is not the
	// target's says nothing of it.
	private void hearLimit(AnswerVerdict verdict, OptionalDouble requestsPerSecond) {
		final boolean named = requestsPerSecond.isPresent() && verdict != AnswerVerdict.MISMATCHED;
		if (named || verdict == AnswerVerdict.ANSWER) {
			this.exchange.tools()
				.targets()
				.onLimit(this.start.target().targetId(), this.sentAtNanos, requestsPerSecond);
		}
	}

	private void hearBackoff(RelayDialect dialect, AnswerHead received) {
		final String targetId = this.start.target().targetId();
		this.exchange.tools().gate().hearBackoff(targetId, dialect.backoffMillis(received));
		if (dialect.leaving(received)) {
			this.exchange.tools().gate().hearLeaving(targetId);
		}
	}

	private void expect(AttemptOutcome how) {
		this.unlessBroken = how;
	}

	private void stream() {
		this.events = new EventRelay(id(), this.exchange.position(), this.listener);
		this.exchange.tools().streams().add(this.events);
		this.exchange.answer().stream(this.head);
		callerTakesMore(this.exchange.answer().writable());
	}

	@Override
	public void onBytes(byte[] bytes) {
		if (this.events != null) {
			if (!this.events.take(bytes, this.exchange.answer())) {
				giveUp(AttemptOutcome.MISMATCHED);
			}
		}
		else if (this.body.size() + bytes.length > MOST_ANSWER_BYTES) {
			giveUp(AttemptOutcome.BROKEN);
		}
		else {
			this.body.writeBytes(bytes);
		}
	}

	@Override
	public void onBatchEnd() {
		if (this.events != null) {
			this.exchange.answer().flush();
		}
	}

	@Override
	public void onEnd() {
		if (this.events != null) {
			this.exchange.answer().flush();
			end(this.events.endInOrder());
			return;
		}
		if (this.unlessBroken != AttemptOutcome.DECLINED) {
			this.exchange.keep(TargetAnswer.of(this.head, this.body.toByteArray()), this.unlessBroken);
		}
		end(this.unlessBroken);
	}

	@Override
	public void onFailure(Throwable failure) {
		// A target that said it has not run the request said so, whatever happens to the
		// rest of its answer.
		if (this.unlessBroken == AttemptOutcome.DECLINED) {
			end(AttemptOutcome.DECLINED);
		}
		else {
			final boolean connected = !(failure instanceof NotConnectedException);
			if (connected && !this.over) {
				onBreak();
			}
			end(connected ? AttemptOutcome.BROKEN : AttemptOutcome.NOT_CONNECTED);
		}
	}

	void cancel() {
		giveUp(AttemptOutcome.CANCELLED);
	}

	private void giveUp(AttemptOutcome how) {
		if (!this.over) {
			if (this.call != null) {
				this.call.abort();
			}
			end(how);
		}
	}

	/**
	 * Reads the target only as fast as the caller reads, so that no events pile up here.
	 * @param writable whether the caller takes more
	 */
	void callerTakesMore(boolean writable) {
		if (this.events != null && !this.over) {
			this.events.callerIsSlow(!writable);
			this.call.reading(writable);
		}
	}

	private void end(AttemptOutcome how) {
		if (this.over) {
			return;
		}
		this.over = true;
		if (this.events != null) {
			this.exchange.tools().streams().remove(this.events);
		}
		this.listener.onEnd(id(), how, this.exchange.position().events());
	}

	private void onBreak() {
		final int given = this.exchange.position().events() - this.start.resumeFromTokens();
		final String fingerprint = this.exchange.info().fingerprint();
		Events.log(EventId.TARGET_CONNECTION_LOST, "request", this.exchange.call().head().requestId(), "fingerprint",
				fingerprint, "target", this.start.target().targetId(), "status",
				(this.head != null) ? this.head.status() : 0, "events", given);
		this.exchange.tools().crashes().onBreak(this.start.target(), fingerprint, given > FEW_EVENTS);
	}

}
