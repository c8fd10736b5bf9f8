package org.pistachioline.daemon.replica;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests of which silent instances count as failed.
 */
class UnresponsiveInstancesTests {

	private final ProbedInstances world = new ProbedInstances();

	UnresponsiveInstancesTests() {
		this.world.addGroup("small.1", "head", "follower", "other");
	}

	// One missed probe of a sound instance closed its group and cut all of its streams.
	@ParameterizedTest
	@ValueSource(longs = { 700, 900, 1_000, 1_200, 1_500, 2_000 })
	void aMemberThatIsSilentForAWhileAndGoesOnNeverCountsAsFailed(long silenceMillis) {
		this.world.silence("follower", 0, silenceMillis);
		this.world.runUntil(600);
		this.world.reportStall("head");
		this.world.runUntil(15_000);
		assertThat(this.world.everUnresponsiveIds()).isEmpty();
	}

	// A silent head's group was closed and broken as soon as the head went on.
	@Test
	void aHeadThatIsSilentForASecondNeverCountsAsFailedWhicheverDaemonReportsIt() {
		this.world.silence("head", 0, 1_500);
		for (long millis = 600; millis <= 3_000; millis += 100) {
			this.world.runUntil(millis);
			this.world.reportStall("head");
		}
		this.world.runUntil(15_000);
		assertThat(this.world.everUnresponsiveIds()).isEmpty();
	}

	// Silent seconds with answers between them must not add up to a failure.
	@Test
	void aMemberThatIsSilentAgainAndAgainNeverCountsAsFailed() {
		for (long millis = 0; millis < 20_000; millis += 1_300) {
			this.world.silence("follower", millis, millis + 1_000);
		}
		for (long millis = 600; millis <= 20_000; millis += 100) {
			this.world.runUntil(millis);
			this.world.reportStall("head");
		}
		assertThat(this.world.everUnresponsiveIds()).isEmpty();
	}

	// Its group would accept requests until the list drops the dead member.
	@Test
	void aMemberThatStaysSilentCountsAsFailedTwoSecondsAfterItsFirstMissedProbe() {
		this.world.silence("follower", 0, ProbedInstances.NEVER_MILLIS);
		this.world.runUntil(600);
		this.world.reportStall("head");
		this.world.runUntil(2_500);
		assertThat(this.world.everUnresponsiveIds()).isEmpty();
		this.world.runUntil(3_000);
		assertThat(this.world.unresponsiveIds()).containsExactly("follower");
	}

	// Guards against a dead member whose group keeps its requests for two seconds, though
	// a refused connection shows its end at once.
	@Test
	void aMemberWhoseAddressRefusesConnectionsCountsAsFailedAtOnce() {
		this.world.end("follower");
		this.world.runUntil(600);
		this.world.reportStall("head");
		this.world.runUntil(700);
		assertThat(this.world.unresponsiveIds()).containsExactly("follower");
	}

	// Guards against closing groups when this daemon's own link refuses connections.
	@Test
	void refusedConnectionsProveNothingWhileNoMemberAnswers() {
		this.world.end("head");
		this.world.end("follower");
		this.world.end("other");
		this.world.runUntil(600);
		this.world.reportStall("head");
		this.world.runUntil(5_000);
		assertThat(this.world.everUnresponsiveIds()).isEmpty();
	}

	// The survivors of a dead head would wait until the list drops it.
	@Test
	void aHeadThatStaysSilentCountsAsFailed() {
		this.world.silence("head", 0, ProbedInstances.NEVER_MILLIS);
		this.world.runUntil(600);
		this.world.reportStall("head");
		this.world.runUntil(3_000);
		assertThat(this.world.unresponsiveIds()).containsExactly("head");
	}

	// A daemon that is partitioned itself must not close the groups that it cannot reach.
	@Test
	void nothingIsConcludedWhileNoMemberAnswers() {
		this.world.silence("head", 0, ProbedInstances.NEVER_MILLIS);
		this.world.silence("follower", 0, ProbedInstances.NEVER_MILLIS);
		this.world.silence("other", 0, ProbedInstances.NEVER_MILLIS);
		for (long millis = 600; millis <= 15_000; millis += 100) {
			this.world.runUntil(millis);
			this.world.reportStall("head");
		}
		assertThat(this.world.everUnresponsiveIds()).isEmpty();
	}

	// A partition of this daemon must not make up the time that a silent member lacks.
	@Test
	void aRoundThatNoMemberAnswersIsNoEvidenceAgainstAny() {
		this.world.silence("follower", 0, 4_000);
		this.world.silence("head", 1_100, 2_700);
		this.world.silence("other", 1_100, 2_700);
		for (long millis = 600; millis <= 15_000; millis += 100) {
			this.world.runUntil(millis);
			this.world.reportStall("head");
		}
		assertThat(this.world.everUnresponsiveIds()).isEmpty();
	}

	// An instance that goes on late would stay unused although it works.
	@Test
	void anAnswerAfterTwoSecondsEndsTheFailure() {
		this.world.silence("follower", 0, 4_000);
		this.world.runUntil(600);
		this.world.reportStall("head");
		this.world.runUntil(3_500);
		assertThat(this.world.unresponsiveIds()).containsExactly("follower");
		this.world.runUntil(4_600);
		assertThat(this.world.unresponsiveIds()).isEmpty();
	}

	// Its group is over soon, so that nobody probes it any more and no answer could come.
	@Test
	void anInstanceIsUsedAgainSixSecondsAfterItCountedAsFailed() {
		this.world.silence("follower", 0, ProbedInstances.NEVER_MILLIS);
		this.world.runUntil(600);
		this.world.reportStall("head");
		this.world.runUntil(3_000);
		this.world.remove("follower");
		this.world.runUntil(8_000);
		assertThat(this.world.unresponsiveIds()).containsExactly("follower");
		this.world.runUntil(9_100);
		assertThat(this.world.unresponsiveIds()).isEmpty();
	}

	// Misses that two groups see of one instance must not count twice.
	@Test
	void aMemberThatMovesToAnotherGroupIsJudgedByItsOwnSilence() {
		this.world.addGroup("small.2", "head2", "follower2");
		this.world.silence("follower", 0, 2_000);
		this.world.runUntil(600);
		this.world.reportStall("head");
		this.world.runUntil(700);
		this.world.addGroup("small.2", "head2", "follower2", "follower");
		for (long millis = 800; millis <= 6_000; millis += 100) {
			this.world.reportStall("head");
			this.world.reportStall("head2");
			this.world.runUntil(millis);
		}
		assertThat(this.world.everUnresponsiveIds()).isEmpty();
	}

	// A dead member that is listed in its next group would be missed by the probes of
	// both.
	@Test
	void aMemberThatStaysSilentInAnotherGroupCountsAsFailed() {
		this.world.addGroup("small.2", "head2", "follower2");
		this.world.silence("follower", 0, ProbedInstances.NEVER_MILLIS);
		this.world.runUntil(600);
		this.world.reportStall("head");
		this.world.runUntil(700);
		this.world.addGroup("small.2", "head2", "follower2", "follower");
		this.world.runUntil(3_500);
		assertThat(this.world.unresponsiveIds()).containsExactly("follower");
	}

	// A daemon that ran late got all results at once, long after the instance went on.
	@Test
	void resultsThatAreProcessedLateDoNotMakeASoundMemberFail() {
		this.world.silence("follower", 0, 1_500);
		this.world.runUntil(600);
		this.world.reportStall("head");
		this.world.holdResults(true);
		this.world.runUntil(4_000);
		this.world.holdResults(false);
		this.world.runUntil(15_000);
		assertThat(this.world.everUnresponsiveIds()).isEmpty();
	}

	// Rounds overlap, so that an answer may overtake the misses of an earlier round.
	@Test
	void aMissThatIsOlderThanAnAnswerDoesNotCount() {
		this.world.silence("follower", 0, 1_500);
		this.world.holdResults(true);
		for (long millis = 600; millis <= 1_600; millis += 500) {
			this.world.runUntil(millis);
			this.world.reportStall("head");
		}
		this.world.runUntil(1_700);
		this.world.reverseHeldResults();
		this.world.holdResults(false);
		this.world.runUntil(15_000);
		assertThat(this.world.probeTimesMillis()).containsExactly(600L, 600L, 600L, 1_100L, 1_100L, 1_100L, 1_600L,
				1_600L, 1_600L);
	}

	// Probes are priced; reports of many daemons must not multiply them.
	@Test
	void aGroupIsProbedOnceInHalfASecondAndOnlyWhileAMemberIsSilent() {
		this.world.silence("follower", 0, 1_900);
		this.world.runUntil(600);
		for (int report = 0; report < 8; report++) {
			this.world.reportStall("head");
		}
		this.world.runUntil(15_000);
		assertThat(this.world.probeTimesMillis()).containsExactly(600L, 600L, 600L, 1_100L, 1_100L, 1_100L, 1_600L,
				1_600L, 1_600L);
	}

	// Probes are priced, and an instance may be listed although this daemon never reaches
	// it.
	@Test
	void theProbesOfAMemberThatStaysSilentAreBounded() {
		this.world.silence("follower", 0, ProbedInstances.NEVER_MILLIS);
		this.world.runUntil(600);
		this.world.reportStall("head");
		this.world.runUntil(60_000);
		assertThat(this.world.probeTimesMillis()).hasSizeLessThan(3 * 18);
	}

}
