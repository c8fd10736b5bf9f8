package org.pistachioline.core.placement;

/**
 * The time for which a target receives no requests because it was slow, silent or
 * failing. It doubles with each ejection.
 */
final class Ejection {

	private long untilNanos;

	private int doublings;

	/**
	 * Ejects the target.
	 * @param nowNanos the monotonic time
	 * @param baseNanos the time of the first ejection, in nanoseconds
	 * @param maxDoublings the bound on doublings
	 * @return when the ejection ends
	 */
	long start(long nowNanos, long baseNanos, int maxDoublings) {
		this.untilNanos = nowNanos + (baseNanos << Math.min(maxDoublings, this.doublings));
		this.doublings++;
		return this.untilNanos;
	}

	/**
	 * Takes back one doubling.
	 */
	void decay() {
		this.doublings = Math.max(0, this.doublings - 1);
	}

	boolean isActive(long nowNanos) {
		return this.untilNanos != 0 && nowNanos < this.untilNanos;
	}

}
