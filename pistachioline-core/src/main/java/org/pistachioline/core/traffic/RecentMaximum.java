package org.pistachioline.core.traffic;

/**
 * The largest of the values of the current and of the previous window, so that it always
 * covers a whole one.
 */
final class RecentMaximum {

	private long current;

	private int currentSamples;

	private long previous;

	private int previousSamples;

	void add(long value) {
		this.current = Math.max(this.current, value);
		this.currentSamples++;
	}

	int samples() {
		return this.currentSamples + this.previousSamples;
	}

	long value() {
		return Math.max(this.current, this.previous);
	}

	/**
	 * Begins a new window.
	 */
	void rotate() {
		this.previous = this.current;
		this.previousSamples = this.currentSamples;
		this.current = 0;
		this.currentSamples = 0;
	}

}
