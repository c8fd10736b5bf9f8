package org.pistachioline.daemon.peer;

import java.util.HexFormat;
import java.util.List;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.ByteString;

import org.pistachioline.core.quarantine.CrashEvidence;
import org.pistachioline.core.quarantine.CrashPhase;
import org.pistachioline.core.quarantine.SuspectKind;
import org.pistachioline.core.quarantine.SuspectedRequest;
import org.pistachioline.protocol.peer.CrashSuspect;
import org.pistachioline.protocol.peer.CrashedTarget;

/**
 * Encodes requests that are suspected of crashing targets as protobuf messages, and
 * decodes them. Crash times are sent as ages, since the monotonic clocks of daemons are
 * not comparable.
 */
final class CrashCodec {

	/** Bounds the work that one frame can cause. */
	static final int MAX_REQUESTS = 16;

	/** More crashes than this do not change a verdict. */
	static final int MAX_CRASHES = 8;

	private static final int MAX_FINGERPRINT_BYTES = 32;

	private static final int MAX_TARGET_ID_CHARACTERS = 256;

	private static final long MAX_AGE_MILLIS = TimeUnit.HOURS.toMillis(1);

	private CrashCodec() {
	}

	static List<CrashSuspect> encode(List<SuspectedRequest> suspects, SuspectKind kind, long nowNanos) {
		return suspects.stream()
			.filter((suspect) -> suspect.kind() == kind)
			.limit(MAX_REQUESTS)
			.map((suspect) -> encode(suspect, nowNanos))
			.toList();
	}

	private static CrashSuspect encode(SuspectedRequest request, long nowNanos) {
		return CrashSuspect.newBuilder()
			.setFingerprint(encodeFingerprint(request))
			.addAllTargets(
					request.evidence().stream().limit(MAX_CRASHES).map((crash) -> encode(crash, nowNanos)).toList())
			.build();
	}

	// The ids of parts may have an odd number of digits.
	private static ByteString encodeFingerprint(SuspectedRequest suspect) {
		return (suspect.kind() == SuspectKind.PROMPT_PART) ? ByteString.copyFromUtf8(suspect.fingerprint())
				: ByteString.copyFrom(HexFormat.of().parseHex(suspect.fingerprint()));
	}

	private static String decodeFingerprint(CrashSuspect suspect, SuspectKind kind) {
		return (kind == SuspectKind.PROMPT_PART) ? suspect.getFingerprint().toStringUtf8()
				: HexFormat.of().formatHex(suspect.getFingerprint().toByteArray());
	}

	private static CrashedTarget encode(CrashEvidence crash, long nowNanos) {
		final long ageMillis = TimeUnit.NANOSECONDS.toMillis(nowNanos - crash.crashedAtNanos());
		return CrashedTarget.newBuilder()
			.setTargetId(crash.targetId())
			.setAgeMillis(Math.max(0, Math.min(MAX_AGE_MILLIS, ageMillis)))
			.setUnderWay(crash.phase() == CrashPhase.IN_PROGRESS)
			.setExcused(crash.excused())
			.build();
	}

	/**
	 * Decodes the suspects of a frame, omitting invalid entries.
	 * @param requests the encoded suspects
	 * @param kind what they are
	 * @param nowNanos the monotonic time
	 * @return the valid requests
	 */
	static List<SuspectedRequest> decode(List<CrashSuspect> requests, SuspectKind kind, long nowNanos) {
		return requests.stream()
			.limit(MAX_REQUESTS)
			.filter(CrashCodec::isValid)
			.map((request) -> new SuspectedRequest(kind, decodeFingerprint(request, kind),
					request.getTargetsList()
						.stream()
						.limit(MAX_CRASHES)
						.filter(CrashCodec::isValid)
						.map((crash) -> decode(crash, nowNanos))
						.toList()))
			.toList();
	}

	private static CrashEvidence decode(CrashedTarget crash, long nowNanos) {
		return new CrashEvidence(crash.getTargetId(), nowNanos - TimeUnit.MILLISECONDS.toNanos(crash.getAgeMillis()),
				crash.getUnderWay() ? CrashPhase.IN_PROGRESS : CrashPhase.STARTING, crash.getExcused());
	}

	private static boolean isValid(CrashSuspect request) {
		final int bytes = request.getFingerprint().size();
		return bytes > 0 && bytes <= MAX_FINGERPRINT_BYTES && request.getTargetsCount() > 0;
	}

	private static boolean isValid(CrashedTarget crash) {
		final long ageMillis = crash.getAgeMillis();
		return !crash.getTargetId().isEmpty() && crash.getTargetId().length() <= MAX_TARGET_ID_CHARACTERS
				&& ageMillis >= 0 && ageMillis <= MAX_AGE_MILLIS;
	}

}
