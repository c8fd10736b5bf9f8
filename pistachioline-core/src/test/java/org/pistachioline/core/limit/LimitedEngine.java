package org.pistachioline.core.limit;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalDouble;

/**
 * One target of a {@link LimitWorld}.
 */
final class LimitedEngine {

	final String id;

	/** The epoch of the group that it heads; 0 where it has none. */
	long epoch = 1;

	OptionalDouble limit = OptionalDouble.empty();

	long namedAtNanos;

	/** When the last requests of daemons came that had heard of the limit. */
	final Deque<Long> arrivals = new ArrayDeque<>();

	/** How many requests came since the limit was last changed. */
	int got;

	LimitedEngine(String id) {
		this.id = id;
	}

}
