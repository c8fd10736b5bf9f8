package org.pistachioline.adapters.web;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.util.ByteProcessor;

/**
 * The head of an answer, with the heads of interim answers before it.
 */
final class HeadSection implements AnswerSection, ByteProcessor {

	/** Many times as many as a server sends. */
	static final int MAX_INTERIM_ANSWERS = 100;

	private AnswerState state = AnswerState.BEFORE_HEAD;

	private boolean malformed;

	private boolean interim;

	private int interimCount;

	private boolean ended;

	/**
	 * Begins the head of another answer.
	 */
	void restart() {
		this.state = AnswerState.BEFORE_HEAD;
		this.interimCount = 0;
		this.ended = false;
	}

	@Override
	public int scan(ByteBuf received, int from) throws MalformedAnswerException {
		int index = from;
		while (!this.ended && index < received.writerIndex()) {
			final int stop = received.forEachByte(index, received.writerIndex() - index, this);
			if (this.malformed) {
				throw new MalformedAnswerException(this.state.part());
			}
			index = (stop < 0) ? received.writerIndex() : stop + 1;
			onStop();
		}
		return index;
	}

	@Override
	public boolean hasEnded() {
		return this.ended;
	}

	// Returns whether to go on to the next byte.
	@Override
	public boolean process(byte octet) {
		final AnswerState next = this.state.after(octet);
		if (next == AnswerState.MALFORMED) {
			this.malformed = true;
			return false;
		}
		this.state = next;
		return next != AnswerState.INTERIM_STATUS && next != AnswerState.FINAL_STATUS && next != AnswerState.FIELDS_END;
	}

	private void onStop() {
		if (this.state == AnswerState.INTERIM_STATUS) {
			this.interim = true;
		}
		else if (this.state == AnswerState.FINAL_STATUS) {
			this.interim = false;
		}
		else if (this.state == AnswerState.FIELDS_END) {
			onHeadEnd();
		}
	}

	// The codec takes any number of interim answers, at some microseconds each.
	private void onHeadEnd() {
		this.ended = !this.interim;
		this.state = AnswerState.BEFORE_HEAD;
		if (this.interim) {
			this.interimCount++;
		}
		if (this.interimCount > MAX_INTERIM_ANSWERS) {
			throw new TooLongHttpHeaderException("More than " + MAX_INTERIM_ANSWERS + " interim answers were sent");
		}
	}

}
