package org.pistachioline.core.route;

/**
 * How long a request may wait in a queue before it is refused.
 * <p>
 * Made for the seconds in which the groups of a model are gone or full. A caller of a
 * stream leaves when nothing has come for two seconds, four times the route's target
 * latency or eight times its longest pause, whichever is longest, however long it would
 * wait for the whole answer. A request that is kept for longer is kept for nobody, and
 * its caller, told at once, could have come back and found a place.
 * {@value #QUEUE_PERCENT} % of that time may pass in the queue; the rest is for the
 * target's prefill and the way back, which take some 200 to 500 ms on a busy group.
 */
public final class QueueTimeBudget {

	private static final int QUEUE_PERCENT = 70;

	private static final int PERCENT = 100;

	private static final long MIN_STREAM_SILENCE_MILLIS = 2_000;

	private static final int TARGET_LATENCY_FACTOR = 4;

	private static final int EVENT_GAP_FACTOR = 8;

	private QueueTimeBudget() {
	}

	/**
	 * Returns how long a request may wait until it is sent to a target.
	 * @param route its route
	 * @param waitMillis how long its caller waits for the whole answer
	 * @return the time, in milliseconds
	 */
	public static long maxQueueMillis(Route route, long waitMillis) {
		final long silenceMillis = Math.max(MIN_STREAM_SILENCE_MILLIS, Math
			.max(TARGET_LATENCY_FACTOR * route.targetLatencyMillis(), EVENT_GAP_FACTOR * route.eventGapMillis()));
		final long patienceMillis = (route.kind() == RouteKind.STREAM) ? Math.min(waitMillis, silenceMillis)
				: waitMillis;
		return patienceMillis * QUEUE_PERCENT / PERCENT;
	}

}
