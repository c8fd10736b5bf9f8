package org.pistachioline.adapters.web;

/**
 * Bytes that are held in memory for the callers of a server: requests that are not
 * answered, and answers that their callers have not taken. They are changed on the loop's
 * thread and read on any.
 */
public final class HeldBytes {

	private final long most;

	private volatile long total;

	/**
	 * Creates an account without bytes.
	 * @param most the number of bytes from which on new requests are refused
	 */
	public HeldBytes(long most) {
		this.most = most;
	}

	/**
	 * Creates an account for callers who are trusted, such as operators.
	 * @return an account that is never full
	 */
	static HeldBytes unbounded() {
		return new HeldBytes(Long.MAX_VALUE);
	}

	void add(long bytes) {
		this.total += bytes;
	}

	boolean full() {
		return this.total >= this.most;
	}

	/**
	 * Returns the number of bytes.
	 * @return the number of bytes held
	 */
	public long total() {
		return this.total;
	}

}
