package org.pistachioline.daemon.agreed;

import org.pistachioline.core.stream.CheckpointCoverage;

/**
 * The complete state of a stream in its checkpoint encoding.
 */
public final class StreamSnapshot {

	private final long throughOffset;

	private final byte[] stateBytes;

	private final CheckpointCoverage coverage;

	/**
	 * Creates a snapshot.
	 * @param throughOffset the offset of the last record folded into the state
	 * @param stateBytes the encoded state
	 * @param coverage the range that the newest checkpoint on the stream covers
	 */
	public StreamSnapshot(long throughOffset, byte[] stateBytes, CheckpointCoverage coverage) {
		this.throughOffset = throughOffset;
		this.stateBytes = stateBytes.clone();
		this.coverage = coverage;
	}

	/**
	 * Returns the offset of the last record folded into the state.
	 * @return the offset
	 */
	public long throughOffset() {
		return this.throughOffset;
	}

	/**
	 * Returns the encoded state.
	 * @return a copy of the bytes
	 */
	public byte[] stateBytes() {
		return this.stateBytes.clone();
	}

	/**
	 * Returns the range that the newest checkpoint on the stream covers.
	 * @return the coverage
	 */
	public CheckpointCoverage coverage() {
		return this.coverage;
	}

}
