package org.pistachioline.core.limit;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;

/**
 * One target of a {@link LimitSimulation}.
 */
final class LimitSimulationInstance {

	final String id;

	/** The epoch of the group that it heads; 0 where it has none. */
	long groupEpoch = 1;

	OptionalDouble limit = OptionalDouble.empty();

	long limitSetAtNanos;

	/** When the last requests of daemons came that had heard of the limit. */
	final Deque<Long> countedArrivalsNanos = new ArrayDeque<>();

	/** For how long it asks a daemon for rest that it turns away; 0 while it serves. */
	long backoffNanos;

	/** Whether it says in its answers that it leaves. */
	boolean leaving;

	/** When daemons first passed on that it leaves, by the daemon's name. */
	final Map<String, Long> leavingReceivedNanos = new HashMap<>();

	/** The rest that it asked daemons for, by the daemon's name. */
	final Map<String, List<RequestedBackoff>> backoffs = new HashMap<>();

	/** How many requests came since the limit was last changed. */
	int receivedRequests;

	LimitSimulationInstance(String id) {
		this.id = id;
	}

	/**
	 * A time in which one daemon is to send next to nothing.
	 */
	static final class RequestedBackoff {

		final long fromNanos;

		final long untilNanos;

		int receivedRequests;

		RequestedBackoff(long fromNanos, long untilNanos) {
			this.fromNanos = fromNanos;
			this.untilNanos = untilNanos;
		}

	}

}
