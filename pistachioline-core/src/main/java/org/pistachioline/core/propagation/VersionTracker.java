package org.pistachioline.core.propagation;

/**
 * Tracks the configuration version in force on this daemon and the newest one that it has
 * heard of from others.
 * <p>
 * A daemon reads the configuration from the platform, and learns from heartbeats which
 * version the others have. If it cannot read, it would otherwise refuse requests that a
 * newer version allows, although it knows that there is one. A version that was heard of
 * counts for {@value #RETENTION_SECONDS} s after the last daemon that has it was heard
 * of: versions only rise, so the death of that daemon does not make this one current. It
 * does not count for longer, so that a wrong version does not stay for good.
 * <p>
 * Thread-safe.
 */
public final class VersionTracker {

	private static final long RETENTION_SECONDS = 30;

	private static final long NANOS_PER_MILLI = 1_000_000;

	private static final long RETENTION_NANOS = RETENTION_SECONDS * 1_000 * NANOS_PER_MILLI;

	private final long discoveryEndsAtNanos;

	private long inForce;

	private long heard;

	private String heardFrom = "";

	private long heardAtNanos;

	private long behindSinceNanos;

	/**
	 * Creates a tracker of a daemon that knows no version.
	 * @param discoveryEndsAtNanos until when other daemons may not have had time to tell
	 * this one of their version, by the monotonic clock
	 */
	public VersionTracker(long discoveryEndsAtNanos) {
		this.discoveryEndsAtNanos = discoveryEndsAtNanos;
	}

	/**
	 * Records the version that is in force on another daemon.
	 * @param version the version
	 * @param daemonId the other daemon
	 * @param nowNanos the monotonic time
	 */
	public synchronized void onHeard(long version, String daemonId, long nowNanos) {
		final boolean wasBehind = isBehind(nowNanos);
		if (version > this.heard || !wasBehind) {
			this.heard = version;
			this.heardFrom = daemonId;
		}
		if (version >= this.heard) {
			this.heardAtNanos = nowNanos;
		}
		if (!wasBehind) {
			this.behindSinceNanos = nowNanos;
		}
	}

	/**
	 * Records that a version is in force on this daemon.
	 * @param version the version
	 */
	public synchronized void onInForce(long version) {
		this.inForce = Math.max(this.inForce, version);
	}

	/**
	 * Returns how far this daemon is behind.
	 * @param nowNanos the monotonic time
	 * @return the lag
	 */
	public synchronized VersionLag lag(long nowNanos) {
		final boolean discovering = nowNanos - this.discoveryEndsAtNanos < 0;
		if (!isBehind(nowNanos)) {
			return new VersionLag(this.inForce, this.inForce, "", 0, discovering);
		}
		return new VersionLag(this.inForce, this.heard, this.heardFrom,
				(nowNanos - this.behindSinceNanos) / NANOS_PER_MILLI, discovering);
	}

	private boolean isBehind(long nowNanos) {
		return this.heard > this.inForce && nowNanos - this.heardAtNanos < RETENTION_NANOS;
	}

}
