package org.pistachioline.adapters.web;

import io.netty.buffer.ByteBuf;
import io.netty.util.ByteProcessor;

/**
 * Counts the lines of an answer's head before the codec decodes them.
 * <p>
 * The codec limits a head's bytes and fields, but a field may be folded into any number
 * of lines, and each line is appended to a copy of all lines before it. Heads of the
 * largest size from many servers would keep the loop busy for seconds.
 */
final class HeadLines implements ByteProcessor {

	/** Several times as many as a server sends. */
	static final int MAX_LINES = 512;

	/** Where the status starts in a line such as {@code HTTP/1.1 200 OK}. */
	private static final int STATUS_OFFSET = "HTTP/1.1 ".length();

	private int lineCount;

	private int lineLength;

	private boolean interim;

	private boolean ended;

	void restart() {
		this.lineCount = 0;
		this.lineLength = 0;
		this.interim = false;
		this.ended = false;
	}

	/**
	 * Counts the lines in received bytes up to the end of the head.
	 * @param received the bytes, which are not consumed
	 * @return false if the head has too many lines
	 */
	boolean count(ByteBuf received) {
		if (!this.ended) {
			received.forEachByte(this);
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
			if (this.lineCount == 0 && this.lineLength == STATUS_OFFSET) {
				this.interim = value == '1';
			}
			this.lineLength++;
		}
		return !this.ended && this.lineCount <= MAX_LINES;
	}

	private void endLine() {
		final boolean blank = this.lineLength == 0;
		this.lineLength = 0;
		if (!blank) {
			this.lineCount++;
		}
		else if (this.lineCount > 0) {
			// Another head follows an interim one.
			this.ended = !this.interim;
			this.lineCount = 0;
		}
	}

}
