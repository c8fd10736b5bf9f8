package org.pistachioline.core.route;

/**
 * Computes how long a request may wait in a queue before it is refused.
 * <p>
 * The budget matters while the groups of a model are lost or full. The caller of a stream
 * leaves after a time without any event: two seconds, four times the route's target
 * latency or eight times its longest pause between events, whichever is longest,
 * regardless of how long it would wait for the whole answer. A request that is queued for
 * longer than its caller stays is served in vain, whereas a caller that is refused at
 * once can retry with success. {@value #QUEUE_PERCENT} % of this time may be spent in the
 * queue. The rest is reserved for the target's prefill and the network, which take some
 * 200 to 500 ms on a busy group.
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
	 * @param route the request's route
	 * @param waitMillis how long the caller waits for the whole answer
	 * @return the time, in milliseconds
	 */
	public static long maxQueueMillis(Route route, long waitMillis) {
		final long maxSilenceMillis = Math.max(MIN_STREAM_SILENCE_MILLIS, Math
			.max(TARGET_LATENCY_FACTOR * route.targetLatencyMillis(), EVENT_GAP_FACTOR * route.eventGapMillis()));
		final long callerWaitMillis = (route.kind() == RouteKind.STREAM) ? Math.min(waitMillis, maxSilenceMillis)
				: waitMillis;
		return callerWaitMillis * QUEUE_PERCENT / PERCENT;
	}

}
