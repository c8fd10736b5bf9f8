package org.pistachioline.daemon.peer;

import java.util.List;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;

import org.pistachioline.core.limit.AdvertisedLimit;
import org.pistachioline.protocol.peer.Heartbeat;
import org.pistachioline.protocol.peer.TargetLimit;

/**
 * Encodes the limits that targets state as protobuf messages, and decodes them. Times are
 * sent as ages, since the monotonic clocks of daemons are not comparable.
 */
final class LimitCodec {

	/**
	 * Bounds the part of a heartbeat that grows with the number of targets that state a
	 * limit.
	 */
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
	 * Decodes the limits of a heartbeat, omitting invalid entries.
	 * @param heartbeat the heartbeat
	 * @param nowNanos the monotonic time
	 * @return the valid limits
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
		final double requestsPerSecond = limit.getRequestsPerSecond();
		final long ageMillis = limit.getHeardAgeMillis();
		return requestsPerSecond >= 0 && Double.isFinite(requestsPerSecond) && ageMillis >= 0
				&& ageMillis <= MAX_AGE_MILLIS;
	}

}
