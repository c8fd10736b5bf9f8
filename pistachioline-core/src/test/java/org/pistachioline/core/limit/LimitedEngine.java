package org.pistachioline.core.limit;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
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

	/** For how long it asks a daemon for rest that it turns away; 0 while it serves. */
	long restNanos;

	/** Whether it says in its answers that it leaves. */
	boolean leaving;

	/** When daemons first passed on that it leaves, by the daemon's name. */
	final Map<String, Long> leavingToldNanos = new HashMap<>();

	/** The rest that it asked daemons for, by the daemon's name. */
	final Map<String, List<AskedRest>> rests = new HashMap<>();

	/** How many requests came since the limit was last changed. */
	int got;

	LimitedEngine(String id) {
		this.id = id;
	}

	/**
	 * A time in which one daemon is to send next to nothing.
	 */
	static final class AskedRest {

		final long fromNanos;

		final long untilNanos;

		int got;

		AskedRest(long fromNanos, long untilNanos) {
			this.fromNanos = fromNanos;
			this.untilNanos = untilNanos;
		}

	}

}
