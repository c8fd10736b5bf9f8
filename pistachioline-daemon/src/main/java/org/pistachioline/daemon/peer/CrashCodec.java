package org.pistachioline.daemon.peer;

import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.ByteString;

import org.pistachioline.core.quarantine.CrashEvidence;
import org.pistachioline.core.quarantine.CrashPhase;
import org.pistachioline.core.quarantine.SuspectedRequest;
import org.pistachioline.protocol.peer.CrashSuspect;
import org.pistachioline.protocol.peer.CrashedTarget;

/**
 * Turns requests under which targets died into protobuf and back. Ages are sent instead
 * of times, since each daemon has a monotonic clock of its own.
 */
final class CrashCodec {

	/** Bounds what one frame makes a daemon take in. */
	static final int MAX_REQUESTS = 16;

	/** No verdict needs more. */
	static final int MAX_CRASHES = 8;

	private static final int MAX_FINGERPRINT_BYTES = 32;

	private static final int MAX_TARGET_ID_CHARACTERS = 256;

	private static final long MAX_AGE_MILLIS = TimeUnit.HOURS.toMillis(1);

	private CrashCodec() {
	}

	static List<CrashSuspect> encode(List<SuspectedRequest> requests, long nowNanos) {
		return requests.stream().limit(MAX_REQUESTS).map((request) -> encode(request, nowNanos)).toList();
	}

	private static CrashSuspect encode(SuspectedRequest request, long nowNanos) {
		return CrashSuspect.newBuilder()
			.setFingerprint(ByteString.copyFrom(HexFormat.of().parseHex(request.fingerprint())))
			.addAllTargets(
					request.evidence().stream().limit(MAX_CRASHES).map((death) -> encode(death, nowNanos)).toList())
			.build();
	}

	private static CrashedTarget encode(CrashEvidence death, long nowNanos) {
		final long ageMillis = TimeUnit.NANOSECONDS.toMillis(nowNanos - death.crashedAtNanos());
		return CrashedTarget.newBuilder()
			.setTargetId(death.targetId())
			.setAgeMillis(Math.max(0, Math.min(MAX_AGE_MILLIS, ageMillis)))
			.setUnderWay(death.phase() == CrashPhase.IN_PROGRESS)
			.setExcused(death.excused())
			.build();
	}

	/**
	 * Reads requests of a frame, leaving out what cannot be meant.
	 * @param requests the requests
	 * @param nowNanos the monotonic time
	 * @return the requests
	 */
	static List<SuspectedRequest> decode(List<CrashSuspect> requests, long nowNanos) {
		return requests.stream()
			.limit(MAX_REQUESTS)
			.filter(CrashCodec::isValid)
			.map((request) -> new SuspectedRequest(HexFormat.of().formatHex(request.getFingerprint().toByteArray()),
					request.getTargetsList()
						.stream()
						.limit(MAX_CRASHES)
						.filter(CrashCodec::isValid)
						.map((death) -> decode(death, nowNanos))
						.toList()))
			.toList();
	}

	private static CrashEvidence decode(CrashedTarget death, long nowNanos) {
		return new CrashEvidence(death.getTargetId(), nowNanos - TimeUnit.MILLISECONDS.toNanos(death.getAgeMillis()),
				death.getUnderWay() ? CrashPhase.IN_PROGRESS : CrashPhase.STARTING, death.getExcused());
	}

	private static boolean isValid(CrashSuspect request) {
		final int bytes = request.getFingerprint().size();
		return bytes > 0 && bytes <= MAX_FINGERPRINT_BYTES && request.getTargetsCount() > 0;
	}

	private static boolean isValid(CrashedTarget death) {
		final long ageMillis = death.getAgeMillis();
		return !death.getTargetId().isEmpty() && death.getTargetId().length() <= MAX_TARGET_ID_CHARACTERS
				&& ageMillis >= 0 && ageMillis <= MAX_AGE_MILLIS;
	}

}
