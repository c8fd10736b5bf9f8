package org.pistachioline.core.planner;

/**
 * How busy a group said to be.
 *
 * @param running how many requests it runs, from all daemons
 * @param waiting how many wait there
 * @param probedAtNanos the monotonic time from before it was asked
 */
public record GroupLoad(int running, int waiting, long probedAtNanos) {

	int totalRequests() {
		return this.running + this.waiting;
	}

}
