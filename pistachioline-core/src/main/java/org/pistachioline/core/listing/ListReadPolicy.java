package org.pistachioline.core.listing;

/**
 * How many daemons read the platform's instance list, and how often.
 *
 * @param readers the number of daemons that read on behalf of the others
 * @param readIntervalNanos the interval between the reads of such a daemon
 * @param plannerReads whether the planner always reads for itself; otherwise it polls
 * another daemon and reads only if that list is too old for planning
 */
public record ListReadPolicy(int readers, long readIntervalNanos, boolean plannerReads) {

	private static final long NANOS_PER_MILLI = 1_000_000;

	/**
	 * Two readers and the planner, so that the loss of a reader delays no change. It
	 * costs about thirteen calls a second.
	 */
	public static final ListReadPolicy REDUNDANT = new ListReadPolicy(2, 250 * NANOS_PER_MILLI, true);

	/**
	 * One reader for all, which costs five calls a second. If it is lost, changes are
	 * delayed by the time that a response is waited for.
	 */
	public static final ListReadPolicy ECONOMICAL = new ListReadPolicy(1, 200 * NANOS_PER_MILLI, false);

}
