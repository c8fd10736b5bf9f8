package org.pistachioline.core.record;

import java.util.Arrays;
import java.util.Objects;

/**
 * One part of a checkpoint, which is the serialized state of a stream at an offset. The
 * state is split because the log limits the size of an entry.
 */
public final class CheckpointPart implements RecordBody {

	private final long throughOffset;

	private final int part;

	private final int parts;

	private final byte[] stateBytes;

	/**
	 * Creates a part.
	 * @param throughOffset the last offset that the state includes
	 * @param part the index of the part, from 0
	 * @param parts the number of parts of the checkpoint
	 * @param stateBytes the serialized state of this part; copied
	 */
	public CheckpointPart(long throughOffset, int part, int parts, byte[] stateBytes) {
		this.throughOffset = throughOffset;
		this.part = part;
		this.parts = parts;
		this.stateBytes = stateBytes.clone();
	}

	/**
	 * Returns the last offset that the state includes.
	 * @return the offset
	 */
	public long throughOffset() {
		return this.throughOffset;
	}

	/**
	 * Returns the index of the part.
	 * @return the index, from 0
	 */
	public int part() {
		return this.part;
	}

	/**
	 * Returns the number of parts of the checkpoint.
	 * @return the number of parts
	 */
	public int parts() {
		return this.parts;
	}

	/**
	 * Returns the serialized state of this part.
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
