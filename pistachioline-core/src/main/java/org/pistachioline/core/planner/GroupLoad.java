package org.pistachioline.core.planner;

/**
 * The load that a group reported.
 *
 * @param running the number of requests that it runs, from all daemons
 * @param waiting the number of requests that wait there
 * @param probedAtNanos the monotonic time just before the probe that reported it
 */
public record GroupLoad(int running, int waiting, long probedAtNanos) {

	int totalRequests() {
		return this.running + this.waiting;
	}

}
