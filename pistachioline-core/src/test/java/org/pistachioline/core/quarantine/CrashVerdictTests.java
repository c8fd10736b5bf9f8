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

}
