package org.pistachioline.adapters.web;

import io.netty.buffer.ByteBuf;

/**
 * A body in chunks, with the fields behind the last one.
 */
final class ChunkedBody implements AnswerSection {

	private static final int HEX = 16;

	private AnswerState state = AnswerState.CHUNK_SIZE_BEGIN;

	private long chunkBytes;

	private int leftOfChunkBytes;

	@Override
	public int scan(ByteBuf received, int from) throws MalformedAnswerException {
		int index = from;
		while (!hasEnded() && index < received.writerIndex()) {
			if (this.leftOfChunkBytes > 0) {
				final int taken = Math.min(this.leftOfChunkBytes, received.writerIndex() - index);
				this.leftOfChunkBytes -= taken;
				index += taken;
			}
			else {
				take(received.getByte(index));
				index++;
			}
		}
		return index;
	}

	private void take(byte octet) throws MalformedAnswerException {
		final AnswerState next = this.state.after(octet);
		if (next == AnswerState.MALFORMED) {
			final boolean inChunk = this.state.part() == AnswerPart.CHUNK;
			throw new MalformedAnswerException(inChunk ? AnswerPart.CHUNK : AnswerPart.TRAILER);
		}
		this.state = next;
		if (next == AnswerState.CHUNK_SIZE) {
			onSizeDigit(Character.digit(octet, HEX));
		}
		else if (next == AnswerState.CHUNK_BYTES) {
			onSizeEnd();
		}
	}

	private void onSizeDigit(int digit) throws MalformedAnswerException {
		this.chunkBytes = this.chunkBytes * HEX + digit;
		if (this.chunkBytes > Integer.MAX_VALUE) {
			throw new MalformedAnswerException(AnswerPart.CHUNK);
		}
	}

	// A chunk without bytes is the last one.
	private void onSizeEnd() {
		this.state = (this.chunkBytes > 0) ? AnswerState.CHUNK_END : AnswerState.FIELD;
		this.leftOfChunkBytes = (int) this.chunkBytes;
		this.chunkBytes = 0;
	}

	@Override
	public boolean hasEnded() {
		return this.state == AnswerState.FIELDS_END;
	}

}
