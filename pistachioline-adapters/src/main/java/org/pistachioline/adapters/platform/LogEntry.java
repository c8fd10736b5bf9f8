package org.pistachioline.adapters.platform;

/**
 * One entry of a stream.
 */
public final class LogEntry {

	private final long offset;

	private final long appendedAtMillis;

	private final byte[] payloadBytes;

	/**
	 * Creates an entry.
	 * @param offset its offset
	 * @param appendedAtMillis when it was appended, by the log's wall clock
	 * @param payloadBytes its bytes
	 */
	public LogEntry(long offset, long appendedAtMillis, byte[] payloadBytes) {
		this.offset = offset;
		this.appendedAtMillis = appendedAtMillis;
		this.payloadBytes = payloadBytes.clone();
	}

	/**
	 * Returns the offset.
	 * @return the offset
	 */
	public long offset() {
		return this.offset;
	}

	/**
	 * Returns when it was appended, by the log's wall clock.
	 * @return the time in milliseconds since the epoch
	 */
	public long appendedAtMillis() {
		return this.appendedAtMillis;
	}

	/**
	 * Returns its bytes.
	 * @return a copy of the bytes
	 */
	public byte[] payloadBytes() {
		return this.payloadBytes.clone();
	}

}
