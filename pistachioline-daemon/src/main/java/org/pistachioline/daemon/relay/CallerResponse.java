package org.pistachioline.daemon.relay;

import org.pistachioline.adapters.web.AnswerHead;
import org.pistachioline.adapters.web.WebAnswer;
import org.pistachioline.adapters.web.WebReply;

/**
 * Sends the single response that a caller receives, regardless of the number of attempts.
 */
final class CallerResponse {

	private final WebReply reply;

	private AnswerHead streamHead;

	private boolean streamStarted;

	private boolean ended;

	CallerResponse(WebReply reply) {
		this.reply = reply;
	}

	/**
	 * Sets the head of a streamed response, which is sent with the first bytes or with
	 * the end. Until then the request can still be answered with an error, and a later
	 * attempt's head replaces it; after that the heads of later attempts are ignored.
	 * @param head the head of the target's response
	 */
	void setStreamHead(AnswerHead head) {
		if (!this.streamStarted) {
			this.streamHead = head;
		}
	}

	/**
	 * Returns whether the head of a streamed response was written, so that no other
	 * response can be sent.
	 * @return whether it has
	 */
	boolean isStreamStarted() {
		return this.streamStarted;
	}

	private void startStream() {
		if (!this.streamStarted && this.streamHead != null) {
			this.streamStarted = true;
			this.reply.begin(TargetResponse.withoutHopByHopHeaders(this.streamHead));
		}
	}

	void write(byte[] bytes, int offset, int length) {
		if (!this.ended) {
			startStream();
			this.reply.piece(bytes, offset, length);
		}
	}

	void flush() {
		this.reply.flush();
	}

	/**
	 * Counts the bytes of a response that is kept until it is complete.
	 * @param bytes the number of further bytes; negative for bytes that are kept no
	 * longer
	 */
	void hold(int bytes) {
		this.reply.hold(bytes);
	}

	boolean isWritable() {
		return this.reply.writable();
	}

	/**
	 * Returns whether the caller still waits for the response, after reading what has
	 * arrived on its connection.
	 * @return whether it waits
	 */
	boolean callerWaits() {
		return this.reply.callerWaits();
	}

	/**
	 * Sends a complete response, unless a stream has started.
	 * @param complete the response
	 * @return false if a stream has started, so that the response was not sent
	 */
	boolean sendComplete(WebAnswer complete) {
		if (this.streamStarted) {
			return false;
		}
		this.ended = true;
		this.reply.whole(complete);
		return true;
	}

	/**
	 * Ends a streamed response successfully; its head is sent first if no event was.
	 * @return false if no head was set, so that nothing was sent
	 */
	boolean finishStream() {
		startStream();
		if (!this.streamStarted) {
			return false;
		}
		this.ended = true;
		this.reply.end();
		return true;
	}

	/**
	 * Ends the response unsuccessfully. A stream that has started is aborted, so that it
	 * does not look complete.
	 * @param failure the response to send if no stream has started
	 * @return whether the caller received the response rather than an aborted stream
	 */
	boolean fail(WebAnswer failure) {
		if (this.streamStarted) {
			this.ended = true;
			this.reply.breakOff();
			return false;
		}
		return sendComplete(failure);
	}

}
