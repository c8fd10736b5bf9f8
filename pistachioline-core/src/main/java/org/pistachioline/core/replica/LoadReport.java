package org.pistachioline.core.replica;

/**
 * The request load that an instance reported.
 *
 * @param running the number of requests that it runs, from all daemons
 * @param waiting the number of requests in its queue, from all daemons
 * @param receivedAtNanos the monotonic time at which the report was received
 */
public record LoadReport(int running, int waiting, long receivedAtNanos) {

	/** Stands for an instance that has not reported its load. */
	public static final LoadReport NONE = new LoadReport(0, 0, 0);

}
