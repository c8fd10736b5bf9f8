package org.pistachioline.core.quarantine;

import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests which crashes count against a request and against the parts of its prompt.
 */
class CrashVerdictTests {

	private static final long SECOND_NANOS = 1_000_000_000L;

	private static final String PART = "5e";

	private final GossipQuarantine quarantine = new GossipQuarantine();

	private long nowNanos;

	private void crashAfter(double seconds, String targetId, String... startingFingerprints) {
		this.nowNanos += (long) (seconds * SECOND_NANOS);
		this.quarantine.onCrash(this.nowNanos,
				new TargetCrash(targetId, Set.of(startingFingerprints), Set.of(), Set.of(PART)));
	}

	private void answer(String fingerprint) {
		this.quarantine.onRunPastCrash(this.nowNanos, fingerprint, true);
		this.quarantine.onAnswer(this.nowNanos, List.of(PART));
	}

	/**
	 * Guards against all requests with a part being refused because one of them crashes
	 * targets.
	 */
	@Test
	void aPartIsNotQuarantinedWithTheOneRequestThatExplainsItsCrashes() {
		for (int i = 0; i < 8; i++) {
			crashAfter(0.3, "i-" + i, "culprit");
		}
		assertThat(this.quarantine.quarantined()).containsExactly("culprit");
		assertThat(this.quarantine.quarantinedBy("other", List.of(PART))).isEmpty();
		assertThat(this.quarantine.quarantinedBy("culprit", List.of(PART))).contains(SuspectKind.REQUEST);
	}

	/**
	 * Guards against the same where other requests with the part ran on the targets that
	 * the one request crashed, and one target crashed for another reason.
	 */
	@Test
	void oneFurtherCrashDoesNotTellThePartFromTheRequest() {
		crashAfter(0.3, "i-1", "culprit", "beside-1");
		crashAfter(0.3, "i-2", "culprit", "beside-2");
		crashAfter(0.3, "i-3", "culprit");
		crashAfter(0.3, "i-4", "elsewhere");
		assertThat(this.quarantine.quarantined()).containsExactly("culprit");
	}

	/**
	 * Guards against all requests with a part being refused because a target that fails
	 * part of its requests answered the one that crashes the others with an error.
	 */
	@Test
	void anErrorResponseToTheRequestDoesNotMoveItsCrashesToThePart() {
		crashAfter(0.3, "i-1", "culprit");
		crashAfter(0.3, "i-2", "culprit");
		this.quarantine.onErrorResponse("culprit");
		for (int i = 3; i <= 5; i++) {
			crashAfter(0.3, "i-" + i, "culprit");
		}
		assertThat(this.quarantine.quarantined()).containsExactly("culprit");
	}

	/**
	 * Guards against the same where the one request crashes targets late in its answers,
	 * while others with the part are starting on them.
	 */
	@Test
	void aRequestThatCrashesTargetsLateExplainsTheCrashesToo() {
		for (int i = 0; i < 8; i++) {
			this.nowNanos += SECOND_NANOS / 3;
			this.quarantine.onCrash(this.nowNanos,
					new TargetCrash("i-" + i, Set.of("beside-" + i), Set.of("culprit"), Set.of(PART)));
		}
		assertThat(this.quarantine.quarantined()).containsExactly("culprit");
	}

	@Test
	void aPartIsQuarantinedWhenNoRequestExplainsTwoOfItsCrashes() {
		crashAfter(0.3, "i-1", "first");
		crashAfter(0.3, "i-2", "first");
		crashAfter(0.3, "i-3", "second");
		assertThat(this.quarantine.quarantined()).isEmpty();
		crashAfter(0.3, "i-4", "third");
		assertThat(this.quarantine.quarantined()).containsExactly(PART);
		assertThat(this.quarantine.quarantinedBy("other", List.of(PART))).contains(SuspectKind.PROMPT_PART);
	}

	@Test
	void aPartIsQuarantinedWithTheThirdCrashOfThreeDifferentRequests() {
		crashAfter(0.3, "i-1", "first");
		crashAfter(0.3, "i-2", "second");
		assertThat(this.quarantine.quarantined()).isEmpty();
		crashAfter(0.3, "i-3", "third");
		assertThat(this.quarantine.quarantined()).containsExactly(PART);
	}

	/**
	 * Guards against a part being quarantined minutes later because the request that
	 * explains its crashes has been forgotten.
	 */
	@Test
	void theRequestThatExplainsThePartsCrashesIsRememberedAsLongAsThose() {
		crashAfter(0.3, "i-1", "first");
		crashAfter(0.3, "i-2", "first");
		crashAfter(60, "i-3", "second");
		this.nowNanos += 100 * SECOND_NANOS;
		this.quarantine.onTick(this.nowNanos);
		this.quarantine.onCrash(this.nowNanos, new TargetCrash("i-9", Set.of("unrelated"), Set.of(), Set.of()));
		assertThat(this.quarantine.quarantined()).isEmpty();
	}

	/**
	 * Guards against a sound request being refused to all callers because a rack failed:
	 * the targets of one failure are one piece of evidence.
	 */
	@Test
	void targetsThatCrashTogetherDoNotQuarantineARequest() {
		for (int i = 0; i < 8; i++) {
			crashAfter(0.001, "i-" + i, "popular");
		}
		assertThat(this.quarantine.quarantined()).isEmpty();
	}

	/**
	 * Guards against a request that is sent again at once, and crashes many targets
	 * within the moment that could have a common cause.
	 */
	@Test
	void aRequestWhoseTargetsCrashedTogetherIsHeldBackUntilAnotherMoment() {
		crashAfter(0.001, "i-1", "a");
		crashAfter(0.001, "i-2", "a");
		assertThat(this.quarantine.holdNanos(this.nowNanos, "a", List.of(PART))).isZero();
		crashAfter(0.001, "i-3", "a");
		final long holdNanos = this.quarantine.holdNanos(this.nowNanos, "a", List.of());
		assertThat(holdNanos).isBetween(1L, SECOND_NANOS / 20);
		assertThat(this.quarantine.holdNanos(this.nowNanos, "other", List.of(PART))).isEqualTo(holdNanos);
		assertThat(this.quarantine.holdNanos(this.nowNanos + holdNanos, "a", List.of(PART))).isZero();
		assertThat(this.quarantine.holdNanos(this.nowNanos, "other", List.of())).isZero();
		crashAfter(0.05, "i-4", "a");
		assertThat(this.quarantine.quarantined()).containsExactly("a");
	}

	/**
	 * Guards against a popular request being refused because targets crashed between two
	 * of its answers.
	 */
	@Test
	void aRequestThatWasAnsweredWithinTheLastSecondIsNotBlamed() {
		for (int i = 0; i < 8; i++) {
			answer("popular");
			crashAfter(0.3, "a-" + i, "popular");
			crashAfter(0.3, "b-" + i, "popular");
		}
		assertThat(this.quarantine.quarantined()).isEmpty();
		assertThat(this.quarantine.suspects()).isEmpty();
	}

	@Test
	void aRequestThatBeginsToCrashTargetsAfterItWasHarmlessIsQuarantined() {
		answer("turned");
		for (int i = 0; i < 6; i++) {
			crashAfter(0.3, "i-" + i, "turned");
		}
		assertThat(this.quarantine.quarantined()).containsExactly("turned");
	}

	/**
	 * Guards against a popular request being refused at daemons that did not see its
	 * answers, while another daemon knows better.
	 */
	@Test
	void anAnswerAtOneDaemonExcusesTheRequestAtTheOthers() {
		final GossipQuarantine other = new GossipQuarantine();
		this.quarantine.onRunPastCrash(this.nowNanos, "popular", true);
		for (int i = 0; i < 3; i++) {
			this.nowNanos += SECOND_NANOS / 5;
			other.onCrash(this.nowNanos, new TargetCrash("i-" + i, Set.of("popular"), Set.of(), Set.of()));
			this.quarantine.onPeerReports(this.nowNanos, other.drainBroadcast(this.nowNanos));
			other.onPeerReports(this.nowNanos, this.quarantine.drainBroadcast(this.nowNanos));
		}
		assertThat(other.quarantined()).isEmpty();
		assertThat(this.quarantine.quarantined()).isEmpty();
	}

}
