package org.pistachioline.daemon.peer;

import java.util.ArrayList;
import java.util.List;
import java.util.OptionalDouble;

import org.junit.jupiter.api.Test;

import org.pistachioline.core.limit.AdvertisedLimit;
import org.pistachioline.protocol.peer.Heartbeat;
import org.pistachioline.protocol.peer.TargetLimit;

import static org.assertj.core.api.Assertions.assertThat;

class LimitCodecTests {

	private static final long SENDER_NANOS = 5_000_000_000L;

	private static final long RECEIVER_NANOS = -7_000_000_000L;

	private static List<AdvertisedLimit> decodeFromHeartbeat(List<TargetLimit> limits) {
		return LimitCodec.decode(Heartbeat.newBuilder().addAllTargetLimits(limits).build(), RECEIVER_NANOS);
	}

	@Test
	void limitsAndTheirRemovalKeepTheirAge() {
		final List<AdvertisedLimit> told = List.of(
				new AdvertisedLimit("i-1", OptionalDouble.of(1.1), SENDER_NANOS - 2_000_000_000L),
				new AdvertisedLimit("i-2", OptionalDouble.of(0), SENDER_NANOS),
				new AdvertisedLimit("i-3", OptionalDouble.empty(), SENDER_NANOS - 30_000_000L));
		assertThat(decodeFromHeartbeat(LimitCodec.encode(told, SENDER_NANOS))).containsExactly(
				new AdvertisedLimit("i-1", OptionalDouble.of(1.1), RECEIVER_NANOS - 2_000_000_000L),
				new AdvertisedLimit("i-2", OptionalDouble.of(0), RECEIVER_NANOS),
				new AdvertisedLimit("i-3", OptionalDouble.empty(), RECEIVER_NANOS - 30_000_000L));
	}

	/**
	 * Guards against a broken frame that stops all requests to a target, or frees it.
	 */
	@Test
	void invalidLimitsAreLeftOut() {
		final List<TargetLimit> broken = List.of(
				TargetLimit.newBuilder().setInstanceId("i-1").setRequestsPerSecond(-1).build(),
				TargetLimit.newBuilder().setInstanceId("i-1").setRequestsPerSecond(Double.NaN).build(),
				TargetLimit.newBuilder().setInstanceId("i-1").setRequestsPerSecond(Double.POSITIVE_INFINITY).build(),
				TargetLimit.newBuilder().setInstanceId("i-1").setHeardAgeMillis(-1).build());
		assertThat(decodeFromHeartbeat(broken)).isEmpty();
	}

	/**
	 * Guards against heartbeats that grow with the number of targets in need.
	 */
	@Test
	void theNumberOfLimitsPerHeartbeatIsBounded() {
		final List<AdvertisedLimit> many = new ArrayList<>();
		for (int i = 0; i < 1_000; i++) {
			many.add(new AdvertisedLimit("i-" + i, OptionalDouble.of(1), SENDER_NANOS));
		}
		assertThat(LimitCodec.encode(many, SENDER_NANOS)).hasSize(LimitCodec.MAX_LIMITS);
	}

}
