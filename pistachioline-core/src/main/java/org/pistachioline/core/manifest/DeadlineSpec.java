package org.pistachioline.core.manifest;

/**
 * The default deadlines of requests for which the caller sets none.
 *
 * @param firstTokenMillis the maximum time until the first token
 * @param totalMillis the maximum time until the response is complete
 */
public record DeadlineSpec(long firstTokenMillis, long totalMillis) {

	/** Ten seconds until the first token and ten minutes in total. */
	public static final DeadlineSpec DEFAULT = new DeadlineSpec(10_000, 600_000);

}
