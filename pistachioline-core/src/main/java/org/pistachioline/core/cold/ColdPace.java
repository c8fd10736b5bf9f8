package org.pistachioline.core.cold;

import java.util.Arrays;
import java.util.stream.IntStream;

import org.pistachioline.core.limit.PermitAllocation;
import org.pistachioline.core.placement.LiveDaemons;

/**
 * The schedule of this daemon's attempts at one instance while it is cold.
 * <p>
 * The rate is divided into starts, each of which may be used once in a little more than a
 * second by the daemon that holds its permit. Whatever the phases of the daemons, no
 * second then has more starts than the rate. A rate below one start per second is one
 * start in a longer interval.
 */
public final class ColdPace {

	/**
	 * Exceeds one second by more than the difference of the clocks' rates, and by the
	 * usual jitter of the way to the target.
	 */
	private static final long MIN_INTERVAL_NANOS = 1_020_000_000L;

	/** The time over which the first starts of all permits are spread. */
	private static final long FIRST_STARTS_SPREAD_NANOS = 300_000_000L;

	/** Bounds the cost of hashing for rates of thousands of requests per second. */
	private static final int MAX_PERMITS = 256;

	private static final int MAX_STARTS = 65_536;

	private static final double NANOS_PER_SECOND = 1e9;

	private static final long NANOS_PER_MILLI = 1_000_000L;

	private final String instanceId;

	private boolean active;

	private boolean known;

	private long untilNanos;

	private double requestsPerSecond;

	private int permits;

	private long intervalNanos = MIN_INTERVAL_NANOS;

	private long[] nextStartNanos = {};

	private int[] held = {};

	private long startCount;

	/**
	 * Creates the schedule of an instance that is not known to be cold.
	 * @param instanceId the instance
	 */
	ColdPace(String instanceId) {
		this.instanceId = instanceId;
	}

	/**
	 * Records until when the instance is cold, if that is later than what was known.
	 * @param coldUntilNanos the monotonic time, in nanoseconds, at which it has warmed up
	 * @return by how much the time is extended, in nanoseconds; 0 if it is not;
	 * {@link Long#MAX_VALUE} if the instance was not known to be cold
	 */
	long extend(long coldUntilNanos) {
		final long extendedNanos = this.known ? Math.max(0, coldUntilNanos - this.untilNanos) : Long.MAX_VALUE;
		if (extendedNanos > 0) {
			this.known = true;
			this.untilNanos = coldUntilNanos;
		}
		return extendedNanos;
	}

	/**
	 * Forgets a time that is over.
	 */
	void forget() {
		this.known = false;
		this.active = false;
	}

	/**
	 * Begins to pace the attempts at the instance.
	 * @param nowNanos the monotonic time
	 * @param perSecond the requests per second of all daemons together
	 * @param wasInUse whether daemons may have sent requests within the last second
	 */
	void activate(long nowNanos, double perSecond, boolean wasInUse) {
		final boolean rateChanged = perSecond != this.requestsPerSecond;
		if (this.active && !rateChanged) {
			return;
		}
		if (rateChanged) {
			this.requestsPerSecond = perSecond;
			divide(perSecond);
		}
		final long firstNanos = nowNanos + ((wasInUse || this.active) ? this.intervalNanos : 0);
		for (int start = 0; start < this.nextStartNanos.length; start++) {
			final long earliestNanos = firstNanos + FIRST_STARTS_SPREAD_NANOS * start / this.nextStartNanos.length;
			final boolean usedRecently = !rateChanged && this.nextStartNanos[start] - earliestNanos > 0;
			this.nextStartNanos[start] = usedRecently ? this.nextStartNanos[start] : earliestNanos;
		}
		this.active = true;
	}

	private void divide(double perSecond) {
		final double startsPerInterval = (perSecond > 0) ? Math.max(1, Math.floor(perSecond)) : 0;
		final int starts = (int) Math.min(MAX_STARTS, startsPerInterval);
		final int startsPerPermit = Math.max(1, (starts + MAX_PERMITS - 1) / MAX_PERMITS);
		this.permits = starts / startsPerPermit;
		this.intervalNanos = (perSecond > 0 && perSecond < 1) ? (long) (MIN_INTERVAL_NANOS / perSecond)
				: MIN_INTERVAL_NANOS;
		this.nextStartNanos = new long[this.permits * startsPerPermit];
		this.held = new int[0];
	}

	/**
	 * Recomputes which starts this daemon may use.
	 * @param daemons the daemons that share the permits
	 * @param mayUse whether this daemon may use any
	 */
	void allocate(LiveDaemons daemons, boolean mayUse) {
		if (!this.active) {
			return;
		}
		final boolean[] mine = mayUse ? PermitAllocation.held(daemons, this.instanceId + "#cold", this.permits)
				: new boolean[this.permits];
		this.held = IntStream.range(0, this.nextStartNanos.length)
			.filter((start) -> mine[start % this.permits])
			.toArray();
	}

	/**
	 * Ends the pacing, as the service declares no cold start any more.
	 */
	void deactivate() {
		this.active = false;
	}

	/**
	 * Ends the pacing if the instance has warmed up.
	 * @param nowNanos the monotonic time
	 * @return whether it ended now
	 */
	boolean endIfWarm(long nowNanos) {
		final boolean ends = this.active && nowNanos - this.untilNanos >= 0;
		this.active &= !ends;
		return ends;
	}

	/**
	 * Returns whether attempts at the instance are paced at present.
	 * @return whether it is cold and its service declares a rate
	 */
	public boolean isActive() {
		return this.active;
	}

	boolean isKnown() {
		return this.known;
	}

	/**
	 * Returns until when the instance is cold.
	 * @return the monotonic time, in nanoseconds; meaningless if it is not cold
	 */
	public long untilNanos() {
		return this.untilNanos;
	}

	/**
	 * Returns the rate for all daemons together.
	 * @return the requests per second that the cold instance tolerates
	 */
	public double requestsPerSecond() {
		return this.requestsPerSecond;
	}

	/**
	 * Returns this daemon's part of the rate.
	 * @return the requests per second that it may start; 0 if it holds no permit
	 */
	public double ownRequestsPerSecond() {
		return this.held.length * NANOS_PER_SECOND / this.intervalNanos;
	}

	/**
	 * Returns when this daemon may next start an attempt.
	 * @return the monotonic time, in nanoseconds; the end of the cold time if it holds no
	 * permit
	 */
	public long nextStartNanos() {
		return (this.held.length > 0) ? this.nextStartNanos[earliestHeld()] : this.untilNanos;
	}

	private int earliestHeld() {
		return Arrays.stream(this.held)
			.reduce((first, second) -> (this.nextStartNanos[second] - this.nextStartNanos[first] < 0) ? second : first)
			.orElseThrow();
	}

	/**
	 * Returns whether this daemon may start an attempt at the instance.
	 * @param atNanos the monotonic time of the attempt
	 * @return whether the instance is not cold or a start is due
	 */
	public boolean mayStart(long atNanos) {
		return !this.active || atNanos - nextStartNanos() >= 0;
	}

	/**
	 * Counts an attempt that starts.
	 * @param nowNanos the monotonic time
	 */
	public void onStart(long nowNanos) {
		if (!this.active) {
			return;
		}
		this.startCount++;
		if (this.held.length > 0) {
			final int used = earliestHeld();
			final boolean early = this.nextStartNanos[used] - nowNanos > 0;
			this.nextStartNanos[used] = (early ? this.nextStartNanos[used] : nowNanos) + this.intervalNanos;
		}
	}

	ColdReport report(long nowNanos) {
		return new ColdReport(this.instanceId, this.requestsPerSecond, ownRequestsPerSecond(),
				(this.untilNanos - nowNanos) / NANOS_PER_MILLI, this.startCount);
	}

}
