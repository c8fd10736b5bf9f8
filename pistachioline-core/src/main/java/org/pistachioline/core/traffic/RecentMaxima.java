package org.pistachioline.core.traffic;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * The largest values of the last 30 to 60 seconds, by what they belong to.
 *
 * @param <K> what the values belong to
 */
final class RecentMaxima<K> {

	private static final long WINDOW_NANOS = 30_000_000_000L;

	private static final int MIN_SAMPLES = 20;

	private final Map<K, RecentMaximum> maximumByKey = new HashMap<>();

	private long windowStartedAtNanos;

	private boolean started;

	/**
	 * Records a value.
	 * @param nowNanos the monotonic time
	 * @param key what it belongs to
	 * @param value the value
	 */
	void add(long nowNanos, K key, long value) {
		rotate(nowNanos);
		this.maximumByKey.computeIfAbsent(key, (added) -> new RecentMaximum()).add(value);
	}

	/**
	 * Returns the largest recent value.
	 * @param nowNanos the monotonic time
	 * @param key what it belongs to
	 * @return the value; empty where there are too few to go by
	 */
	OptionalLong find(long nowNanos, K key) {
		rotate(nowNanos);
		final RecentMaximum maximum = this.maximumByKey.get(key);
		return (maximum != null && maximum.samples() >= MIN_SAMPLES) ? OptionalLong.of(maximum.value())
				: OptionalLong.empty();
	}

	private void rotate(long nowNanos) {
		if (!this.started || nowNanos - this.windowStartedAtNanos >= WINDOW_NANOS) {
			this.started = true;
			this.windowStartedAtNanos = nowNanos;
			this.maximumByKey.values().forEach(RecentMaximum::rotate);
			this.maximumByKey.values().removeIf((maximum) -> maximum.samples() == 0);
		}
	}

}
