package org.pistachioline.daemon.relay;

import java.util.function.BooleanSupplier;

import org.pistachioline.adapters.web.AnswerHead;
import org.pistachioline.adapters.web.WebAnswer;
import org.pistachioline.adapters.web.WebReply;

/**
 * The one answer that a caller gets, whatever number of attempts it takes.
 */
final class CallerResponse {

	private final WebReply reply;

	private final BooleanSupplier leaving;

	private boolean streamStarted;

	private boolean ended;

	CallerResponse(WebReply reply, BooleanSupplier leaving) {
		this.reply = reply;
		this.leaving = leaving;
	}

	/**
	 * Begins a stream. The head of the first attempt is the answer's head.
	 * @param head the head of the target's answer
	 */
	void startStream(AnswerHead head) {
		if (!this.streamStarted && !this.ended) {
			this.streamStarted = true;
			this.reply.begin(closeConnectionIfLeaving(TargetResponse.withoutHopByHopHeaders(head)));
			this.reply.flush();
		}
	}

	// Callers move to other daemons with their next request and not in the middle of one.
	private AnswerHead closeConnectionIfLeaving(AnswerHead head) {
		return this.leaving.getAsBoolean() ? new AnswerHead(head.status(), head.headers().with("Connection", "close"))
				: head;
	}

	void write(byte[] bytes, int offset, int length) {
		if (!this.ended) {
			this.reply.piece(bytes, offset, length);
		}
	}

	void flush() {
		this.reply.flush();
	}

	boolean isWritable() {
		return this.reply.writable();
	}

	/**
	 * Gives a whole answer, unless one has begun.
	 * @param whole the answer
	 */
	void sendComplete(WebAnswer whole) {
		this.ended = true;
		this.reply.whole(new WebAnswer(closeConnectionIfLeaving(whole.head()), whole.body()));
	}

	/**
	 * Ends a stream well.
	 */
	void finishStream() {
		this.ended = true;
		this.reply.end();
	}

	/**
	 * Ends the answer without success. A stream that has begun is broken off, so that it
	 * does not look complete.
	 * @param failure the answer, where none has begun
	 * @return whether the caller got the answer and not a broken stream
	 */
	boolean fail(WebAnswer failure) {
		if (this.streamStarted) {
			this.ended = true;
			this.reply.breakOff();
			return false;
		}
		sendComplete(failure);
		return true;
	}

}
