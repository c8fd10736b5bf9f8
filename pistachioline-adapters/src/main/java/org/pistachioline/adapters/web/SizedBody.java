package org.pistachioline.adapters.web;

import io.netty.buffer.ByteBuf;

/**
 * A body of a known size.
 */
final class SizedBody implements AnswerSection {

	private long leftBytes;

	/**
	 * Creates a body.
	 * @param sizeBytes the size in bytes
	 */
	SizedBody(long sizeBytes) {
		this.leftBytes = sizeBytes;
	}

	@Override
	public int scan(ByteBuf received, int from) {
		final int taken = (int) Math.min(this.leftBytes, received.writerIndex() - from);
		this.leftBytes -= taken;
		return from + taken;
	}

	@Override
	public boolean hasEnded() {
		return this.leftBytes == 0;
	}

}
