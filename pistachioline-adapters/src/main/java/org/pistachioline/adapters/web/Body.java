package org.pistachioline.adapters.web;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;

/**
 * The whole body of a message; its bytes never change.
 */
public final class Body {

	/** No body. */
	public static final Body EMPTY = new Body(new byte[0]);

	private final byte[] bytes;

	private Body(byte[] bytes) {
		this.bytes = bytes;
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
		return Unpooled.wrappedBuffer(this.bytes).asReadOnly();
	}

	/**
	 * Returns the number of bytes.
	 * @return the number of bytes
	 */
	public int sizeBytes() {
		return this.bytes.length;
	}

	/**
	 * Feeds the bytes to a digest, without copying them.
	 * @param digest the digest
	 */
	public void digest(MessageDigest digest) {
		digest.update(this.bytes);
	}

	/**
	 * Returns the bytes.
	 * @return a copy of the bytes
	 */
	public byte[] bytes() {
		return this.bytes.clone();
	}

	/**
	 * Returns the bytes as text.
	 * @return the bytes, decoded as UTF-8
	 */
	public String text() {
		return new String(this.bytes, StandardCharsets.UTF_8);
	}

}
