package org.pistachioline.core.manifest;

/**
 * The deadlines of requests for which the caller names none.
 *
 * @param firstTokenMillis how long the first token may take
 * @param totalMillis how long the whole answer may take
 */
public record DeadlineSpec(long firstTokenMillis, long totalMillis) {

	/** Ten seconds to the first token and ten minutes in all. */
	public static final DeadlineSpec DEFAULT = new DeadlineSpec(10_000, 600_000);

}
