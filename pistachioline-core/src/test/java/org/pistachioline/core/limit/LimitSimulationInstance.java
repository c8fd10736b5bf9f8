package org.pistachioline.core.limit;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;

/**
 * A simulated instance that is the head of a target's group.
 */
final class LimitSimulationInstance {

	final String id;

	/** Epoch of the group; 0 while the instance has none. */
	long groupEpoch = 1;

	OptionalDouble limit = OptionalDouble.empty();

	long limitSetAtNanos;

	/** Arrival times of recent requests from daemons that had received the limit. */
	final Deque<Long> countedArrivalsNanos = new ArrayDeque<>();

	/**
	 * Backoff requested of daemons whose requests are declined; 0 while the instance
	 * serves.
	 */
	long backoffNanos;

	/** Whether responses announce that the instance is leaving. */
	boolean leaving;

	/** When each daemon first processed the announcement of leaving, by daemon id. */
	final Map<String, Long> leavingReceivedNanos = new HashMap<>();

	/** Requested backoffs, by daemon id. */
	final Map<String, List<RequestedBackoff>> backoffs = new HashMap<>();

	/** Number of requests since the limit was last changed. */
	int receivedRequests;

	String availabilityZone = "zone";

	/** Until when the instance is cold. */
	long coldUntilNanos;

	/** When daemons could first know that it is cold. */
	long coldKnownAtNanos;

	/** When the requests that arrived at the cold instance were sent. */
	final List<Long> coldSentNanos = new ArrayList<>();

	/** The most requests that were sent and arrived within one second while cold. */
	int maxColdPerSecond;

	LimitSimulationInstance(String id) {
		this.id = id;
	}

	/**
	 * A period in which one daemon is expected to send almost no requests.
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
