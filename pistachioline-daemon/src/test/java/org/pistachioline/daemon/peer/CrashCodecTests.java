package org.pistachioline.daemon.peer;

import java.util.Collections;
import java.util.List;

import com.google.protobuf.ByteString;
import org.junit.jupiter.api.Test;

import org.pistachioline.core.quarantine.CrashEvidence;
import org.pistachioline.core.quarantine.CrashPhase;
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

	@Test
	void suspectsKeepTheAgesOfTheirCrashes() {
		final List<SuspectedRequest> told = List.of(new SuspectedRequest(FINGERPRINT, crashes(SENDER_NANOS)));
		assertThat(CrashCodec.decode(CrashCodec.encode(told, SENDER_NANOS), RECEIVER_NANOS))
			.containsExactly(new SuspectedRequest(FINGERPRINT, crashes(RECEIVER_NANOS)));
	}

	/**
	 * Guards against a broken frame that bars a request.
	 */
	@Test
	void invalidEntriesAreLeftOut() {
		final CrashSuspect.Builder suspect = CrashSuspect.newBuilder().setFingerprint(ByteString.copyFromUtf8("f"));
		final List<CrashSuspect> broken = List.of(CrashSuspect.getDefaultInstance(), suspect.build(),
				suspect.addTargets(CrashedTarget.newBuilder().setTargetId("i-1").setAgeMillis(-1))
					.addTargets(CrashedTarget.newBuilder().setAgeMillis(1))
					.build());
		assertThat(CrashCodec.decode(broken, RECEIVER_NANOS)).flatExtracting(SuspectedRequest::evidence).isEmpty();
	}

	/**
	 * Guards against frames that grow with the number of targets that die.
	 */
	@Test
	void theNumberOfSuspectsPerFrameIsBounded() {
		final List<SuspectedRequest> many = Collections.nCopies(1_000,
				new SuspectedRequest(FINGERPRINT, Collections.nCopies(100, crashes(0).get(0))));
		assertThat(CrashCodec.encode(many, SENDER_NANOS)).hasSize(CrashCodec.MAX_REQUESTS)
			.allMatch((suspect) -> suspect.getTargetsCount() == CrashCodec.MAX_CRASHES);
	}

}
