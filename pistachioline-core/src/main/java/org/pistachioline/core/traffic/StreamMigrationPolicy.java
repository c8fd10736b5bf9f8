package org.pistachioline.core.traffic;

/**
 * Decides when a running stream is taken off its target and resumed at another.
 */
public interface StreamMigrationPolicy {

	/**
	 * Decides for a stream that may be resumed elsewhere.
	 * @param nowNanos the monotonic time
	 * @param stream how far the stream is
	 * @param notServingSinceNanos since when its target takes no new work; null where it
	 * does
	 * @return whether the stream is moved
	 */
	boolean shouldMigrate(long nowNanos, StreamProgress stream, Long notServingSinceNanos);

	/**
	 * Returns whether targets that stand still are reported, so that whoever keeps the
	 * groups looks at them.
	 * @return whether they are
	 */
	default boolean reportsStalls() {
		return false;
	}

}
