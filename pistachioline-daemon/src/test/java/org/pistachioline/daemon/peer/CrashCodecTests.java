package org.pistachioline.daemon.peer;

import java.util.Collections;
import java.util.List;

import com.google.protobuf.ByteString;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import org.pistachioline.core.quarantine.CrashEvidence;
import org.pistachioline.core.quarantine.CrashPhase;
import org.pistachioline.core.quarantine.SuspectKind;
import org.pistachioline.core.quarantine.SuspectedRequest;
import org.pistachioline.protocol.peer.CrashSuspect;
import org.pistachioline.protocol.peer.CrashedTarget;

import static org.assertj.core.api.Assertions.assertThat;

class CrashCodecTests {

	private static final long SENDER_NANOS = 5_000_000_000L;

	private static final long RECEIVER_NANOS = -7_000_000_000L;

	private static final String FINGERPRINT = "00ff17";

	private static List<CrashEvidence> crashes(long nowNanos) {
		return List.of(new CrashEvidence("i-1@1", nowNanos - 2_000_000_000L, CrashPhase.STARTING, false),
				new CrashEvidence("i-2@1", nowNanos, CrashPhase.IN_PROGRESS, true));
	}

	@ParameterizedTest
	@EnumSource
	void suspectsKeepTheAgesOfTheirCrashes(SuspectKind kind) {
		final List<SuspectedRequest> sent = List.of(new SuspectedRequest(kind, FINGERPRINT, crashes(SENDER_NANOS)));
		assertThat(CrashCodec.decode(CrashCodec.encode(sent, kind, SENDER_NANOS), kind, RECEIVER_NANOS))
			.containsExactly(new SuspectedRequest(kind, FINGERPRINT, crashes(RECEIVER_NANOS)));
	}

	/**
	 * Guards against an invalid frame that quarantines a request.
	 */
	@Test
	void invalidEntriesAreLeftOut() {
		final CrashSuspect.Builder suspect = CrashSuspect.newBuilder().setFingerprint(ByteString.copyFromUtf8("f"));
		final List<CrashSuspect> invalid = List.of(CrashSuspect.getDefaultInstance(), suspect.build(),
				suspect.addTargets(CrashedTarget.newBuilder().setTargetId("i-1").setAgeMillis(-1))
					.addTargets(CrashedTarget.newBuilder().setAgeMillis(1))
					.build());
		assertThat(CrashCodec.decode(invalid, SuspectKind.REQUEST, RECEIVER_NANOS))
			.flatExtracting(SuspectedRequest::evidence)
			.isEmpty();
	}

	/**
	 * Guards against a daemon of an earlier build that takes a part for a request.
	 */
	@Test
	void partsAreNotAmongTheRequests() {
		final List<SuspectedRequest> parts = List
			.of(new SuspectedRequest(SuspectKind.PROMPT_PART, "5c1", crashes(SENDER_NANOS)));
		assertThat(CrashCodec.encode(parts, SuspectKind.REQUEST, SENDER_NANOS)).isEmpty();
		assertThat(CrashCodec.encode(parts, SuspectKind.PROMPT_PART, SENDER_NANOS)).hasSize(1);
	}

	/**
	 * Guards against frames that grow with the number of crashed targets.
	 */
	@Test
	void theNumberOfSuspectsPerFrameIsBounded() {
		final List<SuspectedRequest> suspects = Collections.nCopies(1_000,
				new SuspectedRequest(FINGERPRINT, Collections.nCopies(100, crashes(0).get(0))));
		assertThat(CrashCodec.encode(suspects, SuspectKind.REQUEST, SENDER_NANOS)).hasSize(CrashCodec.MAX_REQUESTS)
			.allMatch((suspect) -> suspect.getTargetsCount() == CrashCodec.MAX_CRASHES);
	}

}
