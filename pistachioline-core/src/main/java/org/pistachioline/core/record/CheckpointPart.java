package org.pistachioline.core.record;

import java.util.Arrays;
import java.util.Objects;

/**
 * One part of the folded state of a stream.
 */
public final class CheckpointPart implements RecordBody {

	private final long throughOffset;

	private final int part;

	private final int parts;

	private final byte[] stateBytes;

	/**
	 * Creates a part.
	 * @param throughOffset the last offset folded into the state
	 * @param part the part's number, from 0
	 * @param parts how many parts there are
	 * @param stateBytes the part's bytes
	 */
	public CheckpointPart(long throughOffset, int part, int parts, byte[] stateBytes) {
		this.throughOffset = throughOffset;
		this.part = part;
		this.parts = parts;
		this.stateBytes = stateBytes.clone();
	}

	/**
	 * Returns the last offset folded into the state.
	 * @return the offset
	 */
	public long throughOffset() {
		return this.throughOffset;
	}

	/**
	 * Returns the part's number.
	 * @return the number, from 0
	 */
	public int part() {
		return this.part;
	}

	/**
	 * Returns how many parts there are.
	 * @return the number of parts
	 */
	public int parts() {
		return this.parts;
	}

	/**
	 * Returns the part's bytes.
	 * @return a copy of the bytes
	 */
	public byte[] stateBytes() {
		return this.stateBytes.clone();
	}

	@Override
	public boolean equals(Object other) {
		return other instanceof CheckpointPart that && this.throughOffset == that.throughOffset
				&& this.part == that.part && this.parts == that.parts
				&& Arrays.equals(this.stateBytes, that.stateBytes);
	}

	@Override
	public int hashCode() {
		return Objects.hash(this.throughOffset, this.part, this.parts);
	}

}
