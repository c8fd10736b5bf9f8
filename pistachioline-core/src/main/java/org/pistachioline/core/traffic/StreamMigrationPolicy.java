package org.pistachioline.core.traffic;

/**
 * Decides when a running stream is taken off its target and resumed at another one.
 */
public interface StreamMigrationPolicy {

	/**
	 * Decides whether to migrate a stream that can be resumed elsewhere.
	 * @param nowNanos the monotonic time
	 * @param stream the progress of the stream and of its target
	 * @param notServingSinceNanos since when its target has accepted no new requests;
	 * null if it accepts them
	 * @return whether to migrate the stream
	 */
	boolean shouldMigrate(long nowNanos, StreamProgress stream, Long notServingSinceNanos);

	/**
	 * Returns whether stalled targets are reported, so that the component that manages
	 * the groups can check them.
	 * @return whether to report them
	 */
	default boolean reportsStalls() {
		return false;
	}

}
