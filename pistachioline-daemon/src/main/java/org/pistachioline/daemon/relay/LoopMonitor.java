package org.pistachioline.daemon.relay;

import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import org.pistachioline.adapters.web.WebLoop;
import org.pistachioline.core.event.EventId;
import org.pistachioline.core.overload.LateLoopPolicy;
import org.pistachioline.core.overload.LoopLag;
import org.pistachioline.daemon.event.Events;

/**
 * Measures how late the relay's event loop runs, and refuses requests that a late loop
 * could not serve in time. Any thread may read the measures; the rest is called on the
 * loop's thread.
 */
public final class LoopMonitor {

	private static final long TICK_MILLIS = 100;

	/** The lag from which the loop is reported as late. */
	private static final long LATE_MILLIS = 500;

	private final WebLoop loop;

	private final LongSupplier clockNanos;

	private final LoopLag lag;

	private volatile boolean refusing;

	private volatile long lagMillis;

	private volatile long refusedRequests;

	private volatile boolean late;

	private long refusedBefore;

	LoopMonitor(WebLoop loop, LongSupplier clockNanos) {
		this.loop = loop;
		this.clockNanos = clockNanos;
		this.lag = new LoopLag(TimeUnit.MILLISECONDS.toNanos(TICK_MILLIS), clockNanos.getAsLong());
	}

	/**
	 * Sets whether requests are refused while the loop runs late. Must be called before
	 * the start.
	 * @param value whether they are
	 */
	public void setRefusing(boolean value) {
		this.refusing = value;
	}

	void start() {
		this.loop.every(this::tick, TICK_MILLIS);
	}

	void tick() {
		this.lag.onTick(this.clockNanos.getAsLong());
		this.lagMillis = TimeUnit.NANOSECONDS.toMillis(this.lag.recentNanos());
		if (!this.late && this.lagMillis >= LATE_MILLIS) {
			this.late = true;
			this.refusedBefore = this.refusedRequests;
			Events.log(EventId.LOOP_LATE, "lag_millis", this.lagMillis, "refuses", this.refusing);
		}
		else if (this.late && this.lag.recentNanos() < LateLoopPolicy.ON_TIME_NANOS) {
			this.late = false;
			Events.log(EventId.LOOP_ON_TIME, "refused", this.refusedRequests - this.refusedBefore);
		}
	}

	/**
	 * Decides about a request before any work is done for it, and counts refusals.
	 * @param arrivedAtNanos when it was read
	 * @param maxQueueMillis how long it may wait in this daemon
	 * @return whether it is refused
	 */
	boolean refuses(long arrivedAtNanos, long maxQueueMillis) {
		if (!this.refusing) {
			return false;
		}
		final long nowNanos = this.clockNanos.getAsLong();
		final boolean refused = LateLoopPolicy.refuses(nowNanos - arrivedAtNanos, this.lag.sustainedNanos(nowNanos),
				TimeUnit.MILLISECONDS.toNanos(maxQueueMillis));
		if (refused) {
			this.refusedRequests++;
		}
		return refused;
	}

	/**
	 * Returns after which delay a refused caller may return.
	 * @return the delay, in milliseconds
	 */
	long retryAfterMillis() {
		return LateLoopPolicy.retryAfterMillis(this.lag.sustainedNanos(this.clockNanos.getAsLong()),
				ThreadLocalRandom.current().nextDouble());
	}

	/**
	 * Returns how late the loop ran lately.
	 * @return the largest lag of the last seconds, in milliseconds
	 */
	public long lagMillis() {
		return this.lagMillis;
	}

	/**
	 * Returns the number of requests that were refused because the loop ran late.
	 * @return the number since the start
	 */
	public long refusedRequests() {
		return this.refusedRequests;
	}

}
