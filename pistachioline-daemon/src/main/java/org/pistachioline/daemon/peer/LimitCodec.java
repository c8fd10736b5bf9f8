package org.pistachioline.daemon.peer;

import java.util.List;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;

import org.pistachioline.core.limit.AdvertisedLimit;
import org.pistachioline.protocol.peer.Heartbeat;
import org.pistachioline.protocol.peer.TargetLimit;

/**
 * Turns the limits that targets name into protobuf and back. Ages are sent instead of
 * times, since each daemon has a monotonic clock of its own.
 */
final class LimitCodec {

	/** Bounds the part of a beat that grows with the targets in need. */
	static final int MAX_LIMITS = 64;

	private static final long MAX_AGE_MILLIS = TimeUnit.HOURS.toMillis(1);

	private LimitCodec() {
	}

	static List<TargetLimit> encode(List<AdvertisedLimit> limits, long nowNanos) {
		return limits.stream().limit(MAX_LIMITS).map((limit) -> encode(limit, nowNanos)).toList();
	}

	private static TargetLimit encode(AdvertisedLimit limit, long nowNanos) {
		final long ageMillis = TimeUnit.NANOSECONDS.toMillis(nowNanos - limit.receivedAtNanos());
		final TargetLimit.Builder encoded = TargetLimit.newBuilder()
			.setInstanceId(limit.instanceId())
			.setHeardAgeMillis(Math.max(0, Math.min(MAX_AGE_MILLIS, ageMillis)));
		limit.requestsPerSecond().ifPresent(encoded::setRequestsPerSecond);
		return encoded.build();
	}

	/**
	 * Reads the limits of a heartbeat, leaving out what cannot be meant.
	 * @param heartbeat the heartbeat
	 * @param nowNanos the monotonic time
	 * @return the limits
	 */
	static List<AdvertisedLimit> decode(Heartbeat heartbeat, long nowNanos) {
		return heartbeat.getTargetLimitsList()
			.stream()
			.limit(MAX_LIMITS)
			.filter(LimitCodec::isValid)
			.map((limit) -> new AdvertisedLimit(limit.getInstanceId(),
					limit.hasRequestsPerSecond() ? OptionalDouble.of(limit.getRequestsPerSecond())
							: OptionalDouble.empty(),
					nowNanos - TimeUnit.MILLISECONDS.toNanos(limit.getHeardAgeMillis())))
			.toList();
	}

	private static boolean isValid(TargetLimit limit) {
		final double perSecond = limit.getRequestsPerSecond();
		final long ageMillis = limit.getHeardAgeMillis();
		return perSecond >= 0 && Double.isFinite(perSecond) && ageMillis >= 0 && ageMillis <= MAX_AGE_MILLIS;
	}

}
