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
import org.pistachioline.daemon.port.RelayProtocol;
import org.pistachioline.daemon.port.ResponseVerdict;
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
	private static final int MAX_RESPONSE_BYTES = 16 * 1024 * 1024;

	/** A target that has given more was not crashed by what it read first. */
	private static final int STARTING_PHASE_EVENTS = 3;

	private final RelayExchange exchange;

	private final TrafficAction.Start start;

	private final AttemptListener listener;

	private final ByteArrayOutputStream responseBody = new ByteArrayOutputStream();

	private WebCall targetCall;

	private long sentAtNanos;

	private AnswerHead responseHead;

	private AttemptOutcome expectedOutcome;

	private SseEventForwarder eventForwarder;

	private boolean ended;

	RelayAttempt(RelayExchange exchange, TrafficAction.Start start, AttemptListener listener) {
		this.exchange = exchange;
		this.start = start;
		this.listener = listener;
	}

	AttemptId id() {
		return this.start.attempt();
	}

	void send(long leftMillis) {
		final RelayContext tools = this.exchange.context();
		this.sentAtNanos = System.nanoTime();
		this.targetCall = tools.client()
			.send(this.start.target().address(),
					tools.protocol()
						.toTargetRequest(this.exchange.request(), this.start.target(), leftMillis,
								this.exchange.position().lastEventId()),
					!this.exchange.info().idempotent(), this);
	}

	@Override
	public boolean onSending() {
		final boolean wanted = this.exchange.context().backoffGate().maySend(this.start.target().targetId());
		if (!wanted) {
			end(AttemptOutcome.WITHHELD);
		}
		return wanted;
	}

	@Override
	public void onHead(AnswerHead received) {
		final RelayProtocol dialect = this.exchange.context().protocol();
		this.responseHead = received;
		dialect.load(received, System.nanoTime())
			.ifPresent((load) -> this.exchange.context().targetReports().onLoad(this.start.target().targetId(), load));
		final ResponseVerdict verdict = dialect.classify(this.exchange.request(), received);
		reportLimit(verdict, dialect.requestLimit(received));
		if (verdict != ResponseVerdict.MISMATCHED) {
			reportBackoff(dialect, received);
		}
		switch (verdict) {
			case DECLINED -> expectOutcome(AttemptOutcome.DECLINED);
			case FAILURE -> expectOutcome(AttemptOutcome.FAILURE_ANSWERED);
			case MISMATCHED -> abort(AttemptOutcome.MISMATCHED);
			case VALID -> {
				expectOutcome(AttemptOutcome.COMPLETE);
				if (this.exchange.streaming() && received.status() == OK) {
					startStream();
				}
			}
		}
	}

	// A refusal or a failure may leave the limit out, and an answer that is not the
	// target's says nothing of it.
	private void reportLimit(ResponseVerdict verdict, OptionalDouble requestsPerSecond) {
		final boolean named = requestsPerSecond.isPresent() && verdict != ResponseVerdict.MISMATCHED;
		if (named || verdict == ResponseVerdict.VALID) {
			this.exchange.context()
				.targetReports()
				.onLimit(this.start.target().targetId(), this.sentAtNanos, requestsPerSecond);
		}
	}

	private void reportBackoff(RelayProtocol dialect, AnswerHead received) {
		final String targetId = this.start.target().targetId();
		this.exchange.context().backoffGate().onBackoff(targetId, dialect.backoffMillis(received));
		if (dialect.isLeaving(received)) {
			this.exchange.context().backoffGate().onLeaving(targetId);
		}
	}

	private void expectOutcome(AttemptOutcome how) {
		this.expectedOutcome = how;
	}

	private void startStream() {
		this.eventForwarder = new SseEventForwarder(id(), this.exchange.position(), this.listener);
		this.exchange.context().streams().add(this.eventForwarder);
		this.exchange.response().startStream(this.responseHead);
		onCallerWritable(this.exchange.response().isWritable());
	}

	@Override
	public void onBytes(byte[] bytes) {
		if (this.eventForwarder != null) {
			if (!this.eventForwarder.forward(bytes, this.exchange.response())) {
				abort(AttemptOutcome.MISMATCHED);
			}
		}
		else if (this.responseBody.size() + bytes.length > MAX_RESPONSE_BYTES) {
			abort(AttemptOutcome.BROKEN);
		}
		else {
			this.responseBody.writeBytes(bytes);
		}
	}

	@Override
	public void onBatchEnd() {
		if (this.eventForwarder != null) {
			this.exchange.response().flush();
		}
	}

	@Override
	public void onEnd() {
		if (this.eventForwarder != null) {
			this.exchange.response().flush();
			end(this.eventForwarder.outcomeAtEnd());
			return;
		}
		if (this.expectedOutcome != AttemptOutcome.DECLINED) {
			this.exchange.storeResponse(TargetResponse.of(this.responseHead, this.responseBody.toByteArray()),
					this.expectedOutcome);
		}
		end(this.expectedOutcome);
	}

	@Override
	public void onFailure(Throwable failure) {
		// A target that said it has not run the request said so, whatever happens to the
		// rest of its answer.
		if (this.expectedOutcome == AttemptOutcome.DECLINED) {
			end(AttemptOutcome.DECLINED);
		}
		else {
			final boolean connected = !(failure instanceof NotConnectedException);
			if (connected && !this.ended) {
				reportBrokenConnection();
			}
			end(connected ? AttemptOutcome.BROKEN : AttemptOutcome.NOT_CONNECTED);
		}
	}

	void cancel() {
		abort(AttemptOutcome.CANCELLED);
	}

	private void abort(AttemptOutcome how) {
		if (!this.ended) {
			if (this.targetCall != null) {
				this.targetCall.abort();
			}
			end(how);
		}
	}

	/**
	 * Reads the target only as fast as the caller reads, so that no events pile up here.
	 * @param writable whether the caller takes more
	 */
	void onCallerWritable(boolean writable) {
		if (this.eventForwarder != null && !this.ended) {
			this.eventForwarder.callerBlocked(!writable);
			this.targetCall.reading(writable);
		}
	}

	private void end(AttemptOutcome how) {
		if (this.ended) {
			return;
		}
		this.ended = true;
		if (this.eventForwarder != null) {
			this.exchange.context().streams().remove(this.eventForwarder);
		}
		this.listener.onEnd(id(), how, this.exchange.position().deliveredEvents());
	}

	private void reportBrokenConnection() {
		final int given = this.exchange.position().deliveredEvents() - this.start.resumeFromTokens();
		final String fingerprint = this.exchange.info().fingerprint();
		Events.log(EventId.TARGET_CONNECTION_LOST, "request", this.exchange.request().metadata().requestId(),
				"fingerprint", fingerprint, "target", this.start.target().targetId(), "status",
				(this.responseHead != null) ? this.responseHead.status() : 0, "events", given);
		this.exchange.context()
			.crashProbe()
			.onConnectionBroken(this.start.target(), fingerprint, given > STARTING_PHASE_EVENTS);
	}

}
