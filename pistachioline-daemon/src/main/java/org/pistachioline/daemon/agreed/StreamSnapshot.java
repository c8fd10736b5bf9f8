package org.pistachioline.daemon.agreed;

/**
 * A stream's whole state in its checkpoint form.
 */
public final class StreamSnapshot {

	private final long throughOffset;

	private final byte[] stateBytes;

	/**
	 * Creates a snapshot.
	 * @param throughOffset the last offset folded into it
	 * @param stateBytes the state
	 */
	public StreamSnapshot(long throughOffset, byte[] stateBytes) {
		this.throughOffset = throughOffset;
		this.stateBytes = stateBytes.clone();
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

}
