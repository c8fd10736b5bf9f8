package org.pistachioline.core.traffic;

import java.util.OptionalLong;

/**
 * Estimates how long requests take at most, from those that completed lately. The
 * estimate is not a bound: the next request may take longer than any before it.
 * <p>
 * Requests are told apart by model or service and by the size of their output. Where too
 * few of a size have completed, larger ones give the estimate.
 */
final class CompletionTimes {

	/** Requests seldom take longer than this multiple of the longest of many. */
	private static final double SAFETY_FACTOR = 1.1;

	private static final int CLASSES_PER_DOUBLING = 3;

	private static final int MAX_SIZE_CLASS = Integer.SIZE * CLASSES_PER_DOUBLING;

	private final RecentMaxima<SizeClass> longestNanos = new RecentMaxima<>();

	/**
	 * Records a request that completed.
	 * @param nowNanos the monotonic time
	 * @param info the request
	 * @param tookNanos the time from its arrival to its end
	 */
	void onCompleted(long nowNanos, RequestInfo info, long tookNanos) {
		this.longestNanos.add(nowNanos, sizeClass(info), tookNanos);
	}

	/**
	 * Returns whether two requests are expected to take about as long.
	 * @param first a request
	 * @param second another one
	 * @return whether they are for the same target and of the same size
	 */
	boolean alike(RequestInfo first, RequestInfo second) {
		return sizeClass(first).equals(sizeClass(second));
	}

	/**
	 * Estimates the longest time that a request takes from its arrival to its end.
	 * @param nowNanos the monotonic time
	 * @param info the request
	 * @return the time, in nanoseconds; empty if too few requests like it have completed
	 */
	OptionalLong maxNanos(long nowNanos, RequestInfo info) {
		for (SizeClass size = sizeClass(info); size.number() <= MAX_SIZE_CLASS; size = size.next()) {
			final OptionalLong longest = this.longestNanos.find(nowNanos, size);
			if (longest.isPresent()) {
				return OptionalLong.of((long) (longest.getAsLong() * SAFETY_FACTOR));
			}
		}
		return OptionalLong.empty();
	}

	private static SizeClass sizeClass(RequestInfo info) {
		// Callers state the size, and nothing keeps them from stating a negative one.
		final int tokens = Math.max(0, info.maxOutputTokens());
		return new SizeClass(info.targetKind(), info.name(),
				(int) Math.ceil(CLASSES_PER_DOUBLING * Math.log1p(tokens) / Math.log(2)));
	}

	/**
	 * Requests that are expected to take about as long.
	 *
	 * @param kind whether they are for a model or for a plain service
	 * @param name the model's or the service's name
	 * @param number the number of the class, in ascending order of the maximum output
	 */
	private record SizeClass(TargetKind kind, String name, int number) {

		SizeClass next() {
			return new SizeClass(this.kind, this.name, this.number + 1);
		}

	}

}
