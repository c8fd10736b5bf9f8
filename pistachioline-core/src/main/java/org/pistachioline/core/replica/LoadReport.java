package org.pistachioline.core.replica;

/**
 * What an instance told of its load.
 *
 * @param running how many requests it runs, from all daemons
 * @param waiting how many requests wait there, from all daemons
 * @param receivedAtNanos when it was heard, by the monotonic clock
 */
public record LoadReport(int running, int waiting, long receivedAtNanos) {

	/** Nothing was told. */
	public static final LoadReport NONE = new LoadReport(0, 0, 0);

}
