package org.pistachioline.adapters.web;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.util.ByteProcessor;

/**
 * The head of an answer, with the notices before it.
 */
final class HeadSection implements AnswerSection, ByteProcessor {

	/** Many times as many as a server sends. */
	static final int MAX_NOTICES = 100;

	private AnswerState state = AnswerState.BEFORE_HEAD;

	private boolean malformed;

	private boolean notice;

	private int noticeCount;

	private boolean ended;

	/**
	 * Begins the head of another answer.
	 */
	void restart() {
		this.state = AnswerState.BEFORE_HEAD;
		this.noticeCount = 0;
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
		return next != AnswerState.NOTICE_STATUS && next != AnswerState.FINAL_STATUS && next != AnswerState.FIELDS_END;
	}

	private void onStop() {
		if (this.state == AnswerState.NOTICE_STATUS) {
			this.notice = true;
		}
		else if (this.state == AnswerState.FINAL_STATUS) {
			this.notice = false;
		}
		else if (this.state == AnswerState.FIELDS_END) {
			onHeadEnd();
		}
	}

	// The codec takes any number of notices, at some microseconds each.
	private void onHeadEnd() {
		this.ended = !this.notice;
		this.state = AnswerState.BEFORE_HEAD;
		if (this.notice) {
			this.noticeCount++;
		}
		if (this.noticeCount > MAX_NOTICES) {
			throw new TooLongHttpHeaderException("More than " + MAX_NOTICES + " notices were sent before an answer");
		}
	}

}
