package org.pistachioline.core.placement;

/**
 * The idle connections that this daemon presumably has to a target, derived from the
 * times at which its attempts ended there.
 */
public final class WarmConnections {

	/**
	 * How long an idle connection to a target is used again. It is shorter than the few
	 * seconds for which targets keep idle connections open, so that a request is not sent
	 * on a connection that the target is closing.
	 */
	public static final long KEEP_MILLIS = 1_500;

	/** The maximum number of idle connections that are kept for one target. */
	public static final int MAX_PER_TARGET = 6;

	private static final long KEEP_NANOS = KEEP_MILLIS * 1_000_000L;

	private final long[] idleSinceNanos = new long[MAX_PER_TARGET];

	private int count;

	void add(long nowNanos) {
		if (this.count == MAX_PER_TARGET) {
			System.arraycopy(this.idleSinceNanos, 1, this.idleSinceNanos, 0, MAX_PER_TARGET - 1);
			this.count--;
		}
		this.idleSinceNanos[this.count++] = nowNanos;
	}

	/**
	 * Returns whether there is a connection that can be used again.
	 * @param nowNanos the monotonic time
	 * @return whether the newest one is young enough
	 */
	boolean isAny(long nowNanos) {
		return this.count > 0 && nowNanos - this.idleSinceNanos[this.count - 1] < KEEP_NANOS;
	}

	/**
	 * Removes the newest connection, if one can be used again.
	 * @param nowNanos the monotonic time
	 * @return whether there was one
	 */
	boolean take(long nowNanos) {
		final boolean any = isAny(nowNanos);
		this.count = any ? this.count - 1 : 0;
		return any;
	}

}
