package org.pistachioline.adapters.web;

import java.util.ArrayList;
import java.util.List;

/**
 * Collects bytes in blocks, so that growing copies nothing that is already there.
 * <p>
 * Small pieces share a block. The blocks are handed on as a body without a copy. Not
 * thread-safe.
 */
public final class BlockBuffer {

	/** Bounds the unused memory of the last block. */
	static final int MAX_BLOCK_BYTES = 64 * 1024;

	/** The least size of a block, which makes single bytes cheap. */
	static final int MIN_BLOCK_BYTES = 256;

	private static final byte[] NO_BLOCK = new byte[0];

	private List<byte[]> blocks = new ArrayList<>(1);

	private byte[] lastBlock = NO_BLOCK;

	private int lastBlockSizeBytes;

	private int sizeBytes;

	private int capacityBytes;

	/**
	 * Appends a piece.
	 * @param piece the piece, which is copied
	 */
	public void append(byte[] piece) {
		int appended = 0;
		while (appended < piece.length) {
			if (this.lastBlockSizeBytes == this.lastBlock.length) {
				addBlock(piece.length - appended);
			}
			final int part = Math.min(piece.length - appended, this.lastBlock.length - this.lastBlockSizeBytes);
			System.arraycopy(piece, appended, this.lastBlock, this.lastBlockSizeBytes, part);
			this.lastBlockSizeBytes += part;
			appended += part;
		}
		this.sizeBytes += piece.length;
	}

	// A block as large as all before it keeps both the number of blocks and the unused
	// memory small.
	private void addBlock(int neededBytes) {
		final int wanted = Math.max(MIN_BLOCK_BYTES, Math.max(neededBytes, this.capacityBytes));
		this.lastBlock = new byte[Math.min(MAX_BLOCK_BYTES, wanted)];
		this.lastBlockSizeBytes = 0;
		this.blocks.add(this.lastBlock);
		this.capacityBytes += this.lastBlock.length;
	}

	/**
	 * Returns the number of bytes that were appended.
	 * @return the size, in bytes
	 */
	public int sizeBytes() {
		return this.sizeBytes;
	}

	/**
	 * Returns the memory in use, which may be more than the size.
	 * @return the sum of all blocks, in bytes
	 */
	public int capacityBytes() {
		return this.capacityBytes;
	}

	/**
	 * Hands the bytes on without a copy, which leaves the buffer empty.
	 * @return the bytes as a body
	 */
	public Body takeBody() {
		final Body body = (this.sizeBytes == 0) ? Body.EMPTY : Body.ofBlocks(this.blocks, this.sizeBytes);
		clear();
		return body;
	}

	/**
	 * Discards all bytes and their memory.
	 */
	public void clear() {
		this.blocks = new ArrayList<>(1);
		this.lastBlock = NO_BLOCK;
		this.lastBlockSizeBytes = 0;
		this.sizeBytes = 0;
		this.capacityBytes = 0;
	}

}
