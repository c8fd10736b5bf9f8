package org.pistachioline.daemon.agreed;

import org.pistachioline.core.stream.CheckpointCoverage;

/**
 * A stream's whole state in its checkpoint form.
 */
public final class StreamSnapshot {

	private final long throughOffset;

	private final byte[] stateBytes;

	private final CheckpointCoverage coverage;

	/**
	 * Creates a snapshot.
	 * @param throughOffset the last offset folded into it
	 * @param stateBytes the state
	 * @param cover what the newest checkpoint on the stream covers
	 */
	public StreamSnapshot(long throughOffset, byte[] stateBytes, CheckpointCoverage cover) {
		this.throughOffset = throughOffset;
		this.stateBytes = stateBytes.clone();
		this.coverage = cover;
	}

	/**
	 * Returns the last offset folded into it.
	 * @return the offset
	 */
	public long throughOffset() {
		return this.throughOffset;
	}

	/**
	 * Returns the state.
	 * @return a copy of the bytes
	 */
	public byte[] stateBytes() {
		return this.stateBytes.clone();
	}

	/**
	 * Returns what the newest checkpoint on the stream covers.
	 * @return the cover
	 */
	public CheckpointCoverage coverage() {
		return this.coverage;
	}

}
