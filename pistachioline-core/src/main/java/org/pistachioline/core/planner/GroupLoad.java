package org.pistachioline.core.planner;

/**
 * How busy a group said to be.
 *
 * @param running how many requests it runs, from all daemons
 * @param waiting how many wait there
 * @param askedAtNanos the monotonic time from before it was asked
 */
public record GroupLoad(int running, int waiting, long askedAtNanos) {

	int total() {
		return this.running + this.waiting;
	}

}
