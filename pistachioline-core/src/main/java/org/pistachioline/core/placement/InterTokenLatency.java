package org.pistachioline.core.placement;

/**
 * The mean time between two tokens of a target.
 */
final class InterTokenLatency {

	/** Weighs one sample of many, so that a single slow reader does not move the mean. */
	private static final double SAMPLE_WEIGHT = 0.2;

	private double meanNanos;

	private int samples;

	void add(double sampleNanos) {
		this.meanNanos = (this.samples == 0) ? sampleNanos
				: this.meanNanos + SAMPLE_WEIGHT * (sampleNanos - this.meanNanos);
		this.samples++;
	}

	void reset() {
		this.samples = 0;
		this.meanNanos = 0;
	}

	/**
	 * Returns the mean time between two tokens.
	 * @return the time, in nanoseconds; 0 where no sample came
	 */
	double meanNanos() {
		return this.meanNanos;
	}

	/**
	 * Returns how many measurements the mean rests on.
	 * @return the number of samples
	 */
	int samples() {
		return this.samples;
	}

}
