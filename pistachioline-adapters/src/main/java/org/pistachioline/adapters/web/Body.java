package org.pistachioline.adapters.web;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;

/**
 * The whole body of a message; its bytes never change.
 */
public final class Body {

	/** No body. */
	public static final Body EMPTY = new Body(new byte[0]);

	/** The last block may be used in part only. */
	private final byte[][] blocks;

	private final int sizeBytes;

	private Body(byte[] bytes) {
		this(new byte[][] { bytes }, bytes.length);
	}

	private Body(byte[][] blocks, int sizeBytes) {
		this.blocks = blocks;
		this.sizeBytes = sizeBytes;
	}

	/**
	 * Creates a body from blocks, which must not change any more.
	 * @param blocks its bytes in order; the end of the last block may be unused
	 * @param sizeBytes the number of bytes in use
	 * @return the body
	 */
	static Body ofBlocks(List<byte[]> blocks, int sizeBytes) {
		return new Body(blocks.toArray(new byte[0][]), sizeBytes);
	}

	/**
	 * Creates a body.
	 * @param bytes its bytes, which are copied
	 * @return the body
	 */
	public static Body of(byte[] bytes) {
		return new Body(bytes.clone());
	}

	/**
	 * Creates a body from text.
	 * @param text the text, sent as UTF-8
	 * @return the body
	 */
	public static Body of(String text) {
		return new Body(text.getBytes(StandardCharsets.UTF_8));
	}

	static Body of(ByteBuf received) {
		return received.isReadable() ? new Body(ByteBufUtil.getBytes(received)) : EMPTY;
	}

	ByteBuf toBuffer() {
		return Unpooled.wrappedBuffer(this.blocks.length, this.blocks).slice(0, this.sizeBytes).asReadOnly();
	}

	/**
	 * Returns the number of bytes.
	 * @return the number of bytes
	 */
	public int sizeBytes() {
		return this.sizeBytes;
	}

	/**
	 * Feeds the bytes to a digest, without copying them.
	 * @param digest the digest
	 */
	public void digest(MessageDigest digest) {
		int left = this.sizeBytes;
		for (final byte[] block : this.blocks) {
			final int used = Math.min(left, block.length);
			digest.update(block, 0, used);
			left -= used;
		}
	}

	/**
	 * Returns the bytes.
	 * @return a copy of the bytes
	 */
	public byte[] bytes() {
		final byte[] copy = new byte[this.sizeBytes];
		int copied = 0;
		for (final byte[] block : this.blocks) {
			final int used = Math.min(copy.length - copied, block.length);
			System.arraycopy(block, 0, copy, copied, used);
			copied += used;
		}
		return copy;
	}

	/**
	 * Returns the bytes as text.
	 * @return the bytes, decoded as UTF-8
	 */
	public String text() {
		return new String(bytes(), StandardCharsets.UTF_8);
	}

}
