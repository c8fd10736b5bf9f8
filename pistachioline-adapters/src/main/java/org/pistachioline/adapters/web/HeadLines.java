package org.pistachioline.adapters.web;

import io.netty.buffer.ByteBuf;
import io.netty.util.ByteProcessor;

/**
 * Counts the lines of an answer's head before the codec decodes them, and judges the
 * first one.
 * <p>
 * The codec limits a head's bytes and fields, but a field may be folded into any number
 * of lines, and each line is appended to a copy of all lines before it. Heads of the
 * largest size from many servers would keep the loop busy for seconds.
 */
final class HeadLines implements ByteProcessor {

	/** Several times as many as a server sends. */
	static final int MAX_LINES = 512;

	private final StatusLineGrammar statusLine = new StatusLineGrammar();

	private int lineCount;

	private int lineLength;

	private boolean malformed;

	private boolean ended;

	void restart() {
		this.lineCount = 0;
		this.lineLength = 0;
		this.malformed = false;
		this.ended = false;
		this.statusLine.begin();
	}

	/**
	 * Counts the lines in received bytes up to the end of the head.
	 * @param received the bytes, which are not consumed
	 * @return false if the head has too many lines
	 * @throws MalformedAnswerException if the head has no sound status line
	 */
	boolean count(ByteBuf received) throws MalformedAnswerException {
		if (!this.ended) {
			received.forEachByte(this);
		}
		if (this.malformed) {
			throw new MalformedAnswerException(this.statusLine.part());
		}
		return this.lineCount <= MAX_LINES;
	}

	// Returns whether to go on to the next byte.
	@Override
	public boolean process(byte value) {
		if (value == '\n') {
			endLine();
		}
		else if (value != '\r') {
			if (this.lineCount == 0) {
				this.malformed = !this.statusLine.accepts(value);
			}
			this.lineLength++;
		}
		return !this.ended && !this.malformed && this.lineCount <= MAX_LINES;
	}

	private void endLine() {
		final boolean blank = this.lineLength == 0;
		this.lineLength = 0;
		if (!blank) {
			this.malformed = this.lineCount == 0 && !this.statusLine.mayEnd();
			this.lineCount++;
		}
		else if (this.lineCount > 0) {
			// Another head follows an interim one.
			this.ended = !this.statusLine.isInformational();
			this.statusLine.begin();
			this.lineCount = 0;
		}
	}

}
