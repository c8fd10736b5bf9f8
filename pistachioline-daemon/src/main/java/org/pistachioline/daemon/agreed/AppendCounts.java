package org.pistachioline.daemon.agreed;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Counts this daemon's appends to the log. The log limits the append rate of all daemons
 * together, so operators need each daemon's part of it.
 */
public final class AppendCounts {

	private final AtomicLong appends = new AtomicLong();

	private final AtomicLong refused = new AtomicLong();

	private final AtomicLong ambiguous = new AtomicLong();

	private final AtomicLong throttled = new AtomicLong();

	void onAppend() {
		this.appends.incrementAndGet();
	}

	void onRefused() {
		this.refused.incrementAndGet();
	}

	void onAmbiguous() {
		this.ambiguous.incrementAndGet();
	}

	void onThrottled() {
		this.throttled.incrementAndGet();
	}

	/**
	 * Returns how many appends were sent, retries included.
	 * @return the number of appends
	 */
	public long appends() {
		return this.appends.get();
	}

	/**
	 * Returns how many appends the log refused.
	 * @return the number of appends
	 */
	public long refused() {
		return this.refused.get();
	}

	/**
	 * Returns how many appends ended without a response, so that it is unknown whether
	 * the log stored them.
	 * @return the number of appends
	 */
	public long ambiguous() {
		return this.ambiguous.get();
	}

	/**
	 * Returns how often a due append was deferred because this daemon's share of the
	 * append rate was used up.
	 * @return the number of deferrals
	 */
	public long throttled() {
		return this.throttled.get();
	}

}
