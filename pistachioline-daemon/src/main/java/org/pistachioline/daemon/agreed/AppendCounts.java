package org.pistachioline.daemon.agreed;

import java.util.concurrent.atomic.AtomicLong;

/**
 * Counts a daemon's appends, as all daemons share the log's limit on them.
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
	 * Returns how many appends were sent.
	 * @return the number of appends
	 */
	public long appends() {
		return this.appends.get();
	}

	/**
	 * Returns how many of them the log refused.
	 * @return the number of appends
	 */
	public long refused() {
		return this.refused.get();
	}

	/**
	 * Returns how many of them lost their answer.
	 * @return the number of appends
	 */
	public long ambiguous() {
		return this.ambiguous.get();
	}

	/**
	 * Returns how often an append waited for this daemon's share.
	 * @return the number of times
	 */
	public long throttled() {
		return this.throttled.get();
	}

}
