package org.pistachioline.core.traffic;

import java.util.List;
import java.util.OptionalLong;

/**
 * Bounds how long a stream takes by the output that its caller has limited, at the
 * slowest pace of its model lately.
 * <p>
 * Unlike {@link CompletionTimes}, it does not assume that the next stream is as short as
 * those before it.
 */
final class OutputPace {

	/** Streams slow down by less than this while a daemon leaves. */
	private static final double SAFETY_FACTOR = 1.25;

	private final RecentMaxima<String> slowestFirstEventNanos = new RecentMaxima<>();

	private final RecentMaxima<String> slowestIntervalNanos = new RecentMaxima<>();

	/**
	 * Records a stream that has begun.
	 * @param nowNanos the monotonic time
	 * @param request the stream's request, whose first event has just been delivered
	 */
	void onFirstEvent(long nowNanos, ActiveRequest request) {
		this.slowestFirstEventNanos.add(nowNanos, request.info.name(), nowNanos - request.arrivedAtNanos);
	}

	/**
	 * Records a stream that completed.
	 * @param nowNanos the monotonic time
	 * @param request the stream's request
	 */
	void onCompleted(long nowNanos, ActiveRequest request) {
		meanIntervalNanos(request, nowNanos)
			.ifPresent((nanos) -> this.slowestIntervalNanos.add(nowNanos, request.info.name(), nanos));
	}

	/**
	 * Returns how long a stream takes at most, from its arrival to its end.
	 * @param nowNanos the monotonic time
	 * @param info the stream's request
	 * @param active the requests that have not ended, as the slowest are among them
	 * @return the time, in nanoseconds; empty if its caller does not limit the output or
	 * if too few streams of its model have completed
	 */
	OptionalLong maxNanos(long nowNanos, RequestInfo info, List<ActiveRequest> active) {
		final OptionalLong firstEvent = this.slowestFirstEventNanos.find(nowNanos, info.name());
		final OptionalLong interval = this.slowestIntervalNanos.find(nowNanos, info.name());
		if (info.maxOutputEvents() <= 0 || firstEvent.isEmpty() || interval.isEmpty()) {
			return OptionalLong.empty();
		}
		long firstEventNanos = firstEvent.getAsLong();
		long intervalNanos = interval.getAsLong();
		for (final ActiveRequest request : active) {
			if (request.info.name().equals(info.name())) {
				firstEventNanos = Math.max(firstEventNanos, waitedForFirstEventNanos(nowNanos, request));
				intervalNanos = Math.max(intervalNanos, meanIntervalNanos(request, request.progressAtNanos).orElse(0));
			}
		}
		return OptionalLong
			.of((long) (SAFETY_FACTOR * (firstEventNanos + (info.maxOutputEvents() - 1.0) * intervalNanos)));
	}

	private static long waitedForFirstEventNanos(long nowNanos, ActiveRequest request) {
		return request.firstOutputAtNanos.isPresent() ? 0 : nowNanos - request.arrivedAtNanos;
	}

	private static OptionalLong meanIntervalNanos(ActiveRequest request, long lastEventAtNanos) {
		if (request.firstOutputAtNanos.isEmpty() || request.tokensDelivered < 2) {
			return OptionalLong.empty();
		}
		return OptionalLong
			.of((lastEventAtNanos - request.firstOutputAtNanos.getAsLong()) / (request.tokensDelivered - 1));
	}

}
