package org.pistachioline.adapters.web;

import io.netty.buffer.ByteBuf;

/**
 * A body whose end only the codec looks for.
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
