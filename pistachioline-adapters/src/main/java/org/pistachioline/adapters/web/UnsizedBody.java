package org.pistachioline.adapters.web;

import io.netty.buffer.ByteBuf;

/**
 * A body that ends with its connection.
 */
final class UnsizedBody implements AnswerSection {

	@Override
	public int scan(ByteBuf received, int from) {
		return received.writerIndex();
	}

	@Override
	public boolean hasEnded() {
		return false;
	}

}
