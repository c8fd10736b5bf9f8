package org.pistachioline.adapters.web;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Collects the body of the request that is being read.
 * <p>
 * Its pieces are copied into one buffer that grows by doubling: time and memory depend on
 * the size of the body and not on the number of its pieces.
 */
final class BodyCollector {

	private ByteBuf buffer = Unpooled.EMPTY_BUFFER;

	/**
	 * Adds a piece of the body.
	 * @param piece the piece, which is copied; not empty
	 */
	void append(ByteBuf piece) {
		if (!this.buffer.isReadable()) {
			this.buffer = Unpooled.buffer(piece.readableBytes());
		}
		this.buffer.writeBytes(piece);
	}

	/**
	 * Returns the body.
	 * @return a copy of all pieces
	 */
	Body toBody() {
		return Body.of(this.buffer);
	}

	void clear() {
		this.buffer = Unpooled.EMPTY_BUFFER;
	}

	int sizeBytes() {
		return this.buffer.readableBytes();
	}

	/**
	 * Returns the memory in use, which may be more than the size.
	 * @return the number of bytes
	 */
	int capacityBytes() {
		return this.buffer.capacity();
	}

}
