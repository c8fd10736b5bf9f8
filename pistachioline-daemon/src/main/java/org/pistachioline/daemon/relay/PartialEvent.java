package org.pistachioline.daemon.relay;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * The start of a server-sent event whose rest has not arrived.
 * <p>
 * It grows by doubling and each byte is searched once, so that an event in very many
 * pieces takes a time that grows with its size and not with the square of it.
 */
final class PartialEvent {

	private static final byte[] NO_BYTES = new byte[0];

	private byte[] buffer = NO_BYTES;

	private int sizeBytes;

	int sizeBytes() {
		return this.sizeBytes;
	}

	/**
	 * Returns the memory in use, which may be more than the size.
	 * @return the number of bytes
	 */
	int capacityBytes() {
		return this.buffer.length;
	}

	/**
	 * Adds received bytes.
	 * @param bytes the bytes
	 * @return whether an event ends among the bytes that are held now
	 */
	boolean add(byte[] bytes) {
		final int newSizeBytes = this.sizeBytes + bytes.length;
		if (newSizeBytes > this.buffer.length) {
			this.buffer = Arrays.copyOf(this.buffer, Math.max(newSizeBytes, 2 * this.buffer.length));
		}
		System.arraycopy(bytes, 0, this.buffer, this.sizeBytes, bytes.length);
		final int searchFrom = Math.max(0, this.sizeBytes - StreamPosition.MAX_EVENT_END_BYTES);
		this.sizeBytes = newSizeBytes;
		return StreamPosition.eventEnd(this.buffer, searchFrom, newSizeBytes) >= 0;
	}

	/**
	 * Replaces the bytes that are held.
	 * @param bytes the array of the new ones
	 * @param offset where they start
	 */
	void set(byte[] bytes, int offset) {
		this.buffer = (offset == bytes.length) ? NO_BYTES : Arrays.copyOfRange(bytes, offset, bytes.length);
		this.sizeBytes = this.buffer.length;
	}

	void clear() {
		this.buffer = NO_BYTES;
		this.sizeBytes = 0;
	}

	byte[] bytes() {
		return Arrays.copyOf(this.buffer, this.sizeBytes);
	}

	boolean isBlank() {
		return new String(this.buffer, 0, this.sizeBytes, StandardCharsets.UTF_8).isBlank();
	}

}
