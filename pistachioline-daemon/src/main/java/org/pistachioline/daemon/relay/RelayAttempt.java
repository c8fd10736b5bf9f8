package org.pistachioline.daemon.relay;

import java.util.Optional;

import org.pistachioline.adapters.http.NotConnectedException;
import org.pistachioline.adapters.web.AnswerHead;
import org.pistachioline.adapters.web.AnswerPart;
import org.pistachioline.adapters.web.AnswerReceiver;
import org.pistachioline.adapters.web.ConnectionUse;
import org.pistachioline.adapters.web.ExcessiveBytesException;
import org.pistachioline.adapters.web.MalformedAnswer;
import org.pistachioline.adapters.web.MalformedAnswerException;
import org.pistachioline.adapters.web.UnexpectedAnswer;
import org.pistachioline.adapters.web.UnsendableRequestException;
import org.pistachioline.adapters.web.WebCall;
import org.pistachioline.adapters.web.WebRequest;
import org.pistachioline.core.event.EventId;
import org.pistachioline.core.quarantine.CrashPhase;
import org.pistachioline.core.traffic.AttemptId;
import org.pistachioline.core.traffic.AttemptOutcome;
import org.pistachioline.core.traffic.TrafficAction;
import org.pistachioline.daemon.event.Events;
import org.pistachioline.daemon.port.ResponseVerdict;
import org.pistachioline.daemon.traffic.AttemptListener;

/**
 * One attempt to send a request to a target; its end is reported exactly once.
 * <p>
 * Each attempt uses a connection exclusively. Aborting the attempt closes that
 * connection, so that the target cancels the work and none of its output can reach a
 * later request.
 */
final class RelayAttempt implements AnswerReceiver, KeptResponse {

	private static final int OK = 200;

	private final RelayExchange exchange;

	private final TrafficAction.Start start;

	private final AttemptListener listener;

	private final WholeResponse wholeResponse = new WholeResponse();

	private int heldBytes;

	private int headBytes;

	private WebRequest targetRequest;

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

	boolean hasEnded() {
		return this.ended;
	}

	/**
	 * Returns how the attempt's connection was used before it.
	 * @return the use; none if the attempt was not sent
	 */
	ConnectionUse connection() {
		return (this.targetCall != null) ? this.targetCall.connection() : ConnectionUse.NONE;
	}

	AttemptId id() {
		return this.start.attempt();
	}

	void send(long remainingMillis) {
		try {
			sendToTarget(remainingMillis);
		}
		catch (RuntimeException ex) {
			onFailure(new UnsendableRequestException(ex));
		}
	}

	private void sendToTarget(long remainingMillis) {
		final RelayContext context = this.exchange.context();
		this.sentAtNanos = System.nanoTime();
		this.targetRequest = context.protocol()
			.toTargetRequest(this.exchange.request(), this.start.target(), remainingMillis,
					this.exchange.position().lastEventId());
		this.targetCall = context.client()
			.send(this.start.target().address(), this.targetRequest, this.exchange.needsNewConnection(), this);
	}

	@Override
	public boolean onSending() {
		if (this.ended) {
			// It ended before its connection was made.
			return false;
		}
		// The caller may have left while a connection to the target was made.
		if (!this.exchange.callerWaits()) {
			end(AttemptOutcome.CANCELLED);
			return false;
		}
		final boolean permitted = this.exchange.context().backoffGate().maySend(this.start.target().targetId());
		if (!permitted) {
			end(AttemptOutcome.WITHHELD);
		}
		return permitted;
	}

	@Override
	public void onHead(AnswerHead head) {
		this.responseHead = head;
		this.headBytes = head.headers().memoryBytes();
		this.exchange.history().onBytes(System.nanoTime());
		final ResponseVerdict verdict = this.exchange.context().protocol().classify(this.exchange.request(), head);
		new TargetReporter(this.exchange.context(), this.start.target().targetId()).report(verdict, head,
				this.sentAtNanos);
		switch (verdict) {
			case DECLINED -> expectOutcome(AttemptOutcome.DECLINED);
			case FAILURE -> expectOutcome(AttemptOutcome.FAILURE_ANSWERED);
			case MISMATCHED -> abortMismatched(head);
			case VALID -> onValidHead();
		}
		if (!this.ended && isKeptWhole() && WholeResponse.declaresTooMuch(this.exchange.request().method(), head)) {
			abortOversized("a declared length", AttemptOutcome.BROKEN);
		}
		countKept();
	}

	private Optional<String> answeredId(AnswerHead head) {
		return this.targetRequest.idHeader().flatMap(head::header);
	}

	private void abortMismatched(AnswerHead head) {
		this.exchange.context()
			.unexpectedResponses()
			.onMismatch(
					new UnexpectedAnswer(this.start.target().address(), this.exchange.request().metadata().requestId(),
							answeredId(head).orElse(""), head.status(), this.targetCall.connection()));
		this.exchange.onMismatch();
		abort(AttemptOutcome.MISMATCHED);
	}

	private boolean isKeptWhole() {
		return this.eventForwarder == null && this.expectedOutcome != AttemptOutcome.DECLINED;
	}

	private void onValidHead() {
		if (this.exchange.streaming() && this.responseHead.status() == OK) {
			expectOutcome(AttemptOutcome.COMPLETE);
			forwardEvents();
		}
		else if (this.exchange.response().isStreamStarted()) {
			// An answer without events cannot continue the stream that the caller has.
			abort(AttemptOutcome.MISMATCHED);
		}
		else {
			expectOutcome(AttemptOutcome.COMPLETE);
		}
	}

	private void expectOutcome(AttemptOutcome outcome) {
		this.expectedOutcome = outcome;
	}

	private void forwardEvents() {
		this.eventForwarder = new SseEventForwarder(id(), this.exchange.position(), this.listener);
		this.exchange.context().streams().add(this.eventForwarder);
		this.exchange.response().setStreamHead(this.responseHead);
		onCallerWritable(this.exchange.response().isWritable());
	}

	@Override
	public void onBytes(byte[] bytes) {
		this.exchange.history().onBytes(System.nanoTime());
		if (this.eventForwarder != null) {
			if (!this.eventForwarder.forward(bytes, this.exchange.response())) {
				abortOversized("an event", AttemptOutcome.MISMATCHED);
			}
			countKept();
		}
		else if (this.expectedOutcome == AttemptOutcome.DECLINED) {
			if (!this.wholeResponse.drop(bytes)) {
				abortOversized("a declining response", AttemptOutcome.DECLINED);
			}
		}
		else if (this.wholeResponse.append(bytes)) {
			countKept();
		}
		else {
			abortOversized("a response", AttemptOutcome.BROKEN);
		}
	}

	private void countKept() {
		if (!this.ended) {
			hold(this.wholeResponse.capacityBytes());
			this.exchange.context().keptResponses().update(this);
		}
	}

	private void hold(int bytes) {
		if (bytes != this.heldBytes) {
			this.exchange.response().hold(bytes - this.heldBytes);
			this.heldBytes = bytes;
		}
	}

	@Override
	public long keptBytes() {
		final int eventBytes = (this.eventForwarder != null) ? this.eventForwarder.keptBytes() : 0;
		return (long) this.headBytes + this.wholeResponse.capacityBytes() + eventBytes;
	}

	@Override
	public boolean hasDeclaredLength() {
		return this.responseHead != null && this.responseHead.header("Content-Length").isPresent();
	}

	@Override
	public void endForSum() {
		logOversized((this.eventForwarder != null) ? "an event" : "a response", OversizeBound.SUM);
		abort((this.expectedOutcome == AttemptOutcome.DECLINED) ? AttemptOutcome.DECLINED : AttemptOutcome.BROKEN);
	}

	private void abortOversized(String part, AttemptOutcome outcome) {
		logOversized(part, OversizeBound.SINGLE);
		abort(outcome);
	}

	private void logOversized(String part, OversizeBound bound) {
		this.exchange.context()
			.incompleteResponses()
			.logOversized(this.exchange.request().metadata().requestId(), this.start.target().targetId(), part, bound);
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
			endStream();
			return;
		}
		if (this.expectedOutcome != AttemptOutcome.DECLINED) {
			final TargetResponse response = TargetResponse.of(this.responseHead, this.wholeResponse.takeBody());
			hold(0);
			this.exchange.storeResponse(response, this.expectedOutcome);
		}
		end(this.expectedOutcome);
	}

	private void endStream() {
		this.exchange.response().flush();
		final StreamPosition position = this.exchange.position();
		final boolean empty = position.deliveredEvents() == 0 && position.lastEventId().isEmpty();
		if (!this.ended && empty && !isFramed(this.responseHead)) {
			reportBrokenConnection();
			end(AttemptOutcome.BROKEN);
			return;
		}
		end(this.eventForwarder.outcomeAtEnd());
	}

	// Without framing, the end of the connection ends the response, also when the target
	// has crashed.
	private static boolean isFramed(AnswerHead head) {
		return head.header("Content-Length").isPresent() || head.header("Transfer-Encoding").isPresent();
	}

	private int deliveredEvents() {
		return this.exchange.position().deliveredEvents() - this.start.resumeFromTokens();
	}

	@Override
	public void onFailure(Throwable failure) {
		if (failure instanceof UnsendableRequestException) {
			Events.log(EventId.REQUEST_INTERNAL_ERROR, failure, "request",
					this.exchange.request().metadata().requestId());
			end(AttemptOutcome.UNSENDABLE);
			return;
		}
		if (failure instanceof ExcessiveBytesException) {
			logOversized("a head", OversizeBound.SINGLE);
		}
		if (failure instanceof MalformedAnswerException malformed) {
			logMalformed(malformed.part());
			// A target that sends such bytes has not reliably stated anything.
			expectOutcome(AttemptOutcome.BROKEN);
		}
		// A target that declined has stated that it did not run the request, which holds
		// even if the rest of its response is lost.
		if (this.expectedOutcome == AttemptOutcome.DECLINED) {
			end(AttemptOutcome.DECLINED);
		}
		else {
			final boolean connected = !(failure instanceof NotConnectedException);
			if (connected && !this.ended) {
				reportBrokenConnection();
			}
			else if (!connected) {
				Events.log(EventId.TARGET_NOT_CONNECTED, failure.getCause(), "request",
						this.exchange.request().metadata().requestId(), "target", this.start.target().targetId(),
						"address", this.start.target().address());
			}
			end(connected ? AttemptOutcome.BROKEN : AttemptOutcome.NOT_CONNECTED);
		}
	}

	private void logMalformed(AnswerPart part) {
		this.exchange.context()
			.malformedResponses()
			.log(this.start.target().targetId(), new MalformedAnswer(this.start.target().address(),
					this.exchange.request().metadata().requestId(), part, connection()));
	}

	void cancel() {
		abort(AttemptOutcome.CANCELLED);
	}

	private void abort(AttemptOutcome outcome) {
		if (!this.ended) {
			if (this.targetCall != null) {
				this.targetCall.abort();
			}
			end(outcome);
		}
	}

	/**
	 * Applies the caller's backpressure to the target, so that events do not accumulate
	 * in this process.
	 * @param writable whether the caller accepts more bytes
	 */
	void onCallerWritable(boolean writable) {
		if (this.eventForwarder != null && !this.ended) {
			this.eventForwarder.setCallerBlocked(!writable);
			this.targetCall.reading(writable);
		}
	}

	private void end(AttemptOutcome outcome) {
		if (this.ended) {
			return;
		}
		this.ended = true;
		free();
		this.exchange.history().onEnd(this.start.target().targetId(), outcome);
		if (this.eventForwarder != null) {
			this.exchange.context().streams().remove(this.eventForwarder);
		}
		this.listener.onEnd(id(), outcome, this.exchange.position().deliveredEvents());
	}

	// Freed here, as the exchange keeps its last attempt until it has an answer.
	private void free() {
		this.exchange.context().keptResponses().remove(this);
		this.wholeResponse.clear();
		this.responseHead = null;
		this.headBytes = 0;
		hold(0);
		if (this.eventForwarder != null) {
			this.eventForwarder.discardPartialEvent();
		}
	}

	private void reportBrokenConnection() {
		final String fingerprint = this.exchange.info().fingerprint();
		Events.log(EventId.TARGET_CONNECTION_LOST, "request", this.exchange.request().metadata().requestId(),
				"fingerprint", fingerprint, "parts", this.exchange.info().sharedPromptParts(), "target",
				this.start.target().targetId(), "status", (this.responseHead != null) ? this.responseHead.status() : 0,
				"events", deliveredEvents(), "connection", connection().number(), "earlier_requests",
				connection().earlierRequests());
		this.exchange.context()
			.crashProbe()
			.onConnectionBroken(this.start.target(), this.exchange.info(),
					deliveredEvents() > CrashPhase.STARTING_EVENTS);
	}

}
