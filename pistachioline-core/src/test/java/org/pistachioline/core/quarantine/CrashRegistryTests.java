package org.pistachioline.core.quarantine;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class CrashRegistryTests {

	private static final long MINUTE_NANOS = 60_000_000_000L;

	private static final long SECOND_NANOS = 1_000_000_000L;

	private final CrashRegistry registry = new CrashRegistry(GossipQuarantine.CRASHES_TO_QUARANTINE);

	private void crash(long nowNanos, String fingerprint, String targetId, CrashPhase phase) {
		this.registry.add(nowNanos, fingerprint, new CrashEvidence(targetId, nowNanos, phase, false));
		this.registry.updateQuarantines(nowNanos);
	}

	private void quarantine(long nowNanos, String fingerprint) {
		for (int i = 0; i < GossipQuarantine.CRASHES_TO_QUARANTINE; i++) {
			crash(nowNanos + i * SECOND_NANOS, fingerprint, fingerprint + i, CrashPhase.STARTING);
		}
	}

	@Test
	void threeCrashesWhileStartingQuarantineARequest() {
		crash(0, "a", "i-1", CrashPhase.STARTING);
		crash(SECOND_NANOS, "a", "i-2", CrashPhase.STARTING);
		crash(2 * SECOND_NANOS, "a", "i-2", CrashPhase.STARTING);
		assertThat(this.registry.isQuarantined("a")).isFalse();
		crash(3 * SECOND_NANOS, "a", "i-3", CrashPhase.STARTING);
		assertThat(this.registry.isQuarantined("a")).isTrue();
	}

	@Test
	void sixCrashesWhileInProgressQuarantineARequest() {
		for (int i = 0; i < 5; i++) {
			crash(i * SECOND_NANOS, "a", "i-" + i, CrashPhase.IN_PROGRESS);
		}
		assertThat(this.registry.isQuarantined("a")).isFalse();
		crash(5 * SECOND_NANOS, "a", "i-5", CrashPhase.IN_PROGRESS);
		assertThat(this.registry.isQuarantined("a")).isTrue();
	}

	@Test
	void oneCompletionExcusesAllEarlierCrashes() {
		quarantine(0, "a");
		this.registry.excuse("a");
		assertThat(this.registry.isQuarantined("a")).isFalse();
		crash(3 * SECOND_NANOS, "a", "i-8", CrashPhase.STARTING);
		crash(4 * SECOND_NANOS, "a", "i-9", CrashPhase.STARTING);
		assertThat(this.registry.isQuarantined("a")).isFalse();
	}

	/**
	 * Guards against a popular request that is never quarantined once it begins to crash
	 * targets, because excused crashes fill its history.
	 */
	@Test
	void excusedCrashesLeaveRoomForLaterOnes() {
		for (int i = 0; i < 20; i++) {
			crash(i * SECOND_NANOS, "a", "before-" + i, CrashPhase.STARTING);
			this.registry.excuse("a");
		}
		quarantine(20 * SECOND_NANOS, "a");
		assertThat(this.registry.isQuarantined("a")).isTrue();
	}

	/**
	 * Guards against a request that is never quarantined because the targets of a rack
	 * that failed while it was popular fill its history, and against daemons that then
	 * disagree.
	 */
	@Test
	void crashesAtOneMomentLeaveRoomForLaterOnes() {
		final List<CrashEvidence> crashes = new ArrayList<>();
		for (int i = 0; i < 12; i++) {
			crashes.add(new CrashEvidence("rack-" + i, i, CrashPhase.STARTING, false));
		}
		for (int i = 1; i <= 2; i++) {
			crashes.add(new CrashEvidence("later-" + i, i * SECOND_NANOS, CrashPhase.STARTING, false));
		}
		final Random random = new Random(7);
		for (int i = 0; i < 50; i++) {
			Collections.shuffle(crashes, random);
			final CrashRegistry daemon = new CrashRegistry(GossipQuarantine.CRASHES_TO_QUARANTINE);
			crashes.forEach((crash) -> daemon.add(0, "a", crash));
			daemon.updateQuarantines(2 * SECOND_NANOS);
			assertThat(daemon.quarantined()).containsExactly("a");
			assertThat(crashes.stream().filter((crash) -> daemon.add(0, "a", crash))).isEmpty();
		}
	}

	/**
	 * Guards against a request that is quarantined because it ran on the same three
	 * targets as a request that crashes them.
	 */
	@Test
	void aRequestThatOnlyRanBesideTheCulpritIsNotQuarantined() {
		for (int i = 1; i <= 3; i++) {
			crash(i * SECOND_NANOS, "culprit", "i-" + i, CrashPhase.STARTING);
			crash(i * SECOND_NANOS, "bystander", "i-" + i, CrashPhase.STARTING);
		}
		assertThat(this.registry.quarantined()).doesNotContain("bystander");
		crash(4 * SECOND_NANOS, "culprit", "i-4", CrashPhase.STARTING);
		assertThat(this.registry.quarantined()).containsExactly("culprit");
	}

	/**
	 * Guards against a caller that resubmits for hours and costs three targets each time
	 * its quarantine expires.
	 */
	@Test
	void afterAQuarantineOneCrashQuarantinesTheRequestAgain() {
		quarantine(0, "a");
		this.registry.onTick(11 * MINUTE_NANOS, Set.of());
		assertThat(this.registry.isQuarantined("a")).isFalse();
		crash(12 * MINUTE_NANOS, "a", "i-9", CrashPhase.STARTING);
		assertThat(this.registry.isQuarantined("a")).isTrue();
	}

	@Test
	void aSuspicionWithoutFurtherCrashesExpires() {
		crash(0, "a", "i-1", CrashPhase.STARTING);
		crash(0, "a", "i-2", CrashPhase.STARTING);
		this.registry.onTick(3 * MINUTE_NANOS, Set.of());
		crash(3 * MINUTE_NANOS, "a", "i-3", CrashPhase.STARTING);
		assertThat(this.registry.isQuarantined("a")).isFalse();
	}

	/**
	 * Guards against daemons that disagree on quarantines because frames arrived in
	 * another order, or twice.
	 */
	@Test
	void reportsInAnyOrderLeadToTheSameQuarantines() {
		final List<SuspectedRequest> reports = new ArrayList<>();
		for (int i = 0; i < 4; i++) {
			reports.add(new SuspectedRequest("a",
					List.of(new CrashEvidence("i-" + i, i * SECOND_NANOS, CrashPhase.STARTING, false))));
			reports.add(new SuspectedRequest("b",
					List.of(new CrashEvidence("i-" + i, i * SECOND_NANOS, CrashPhase.STARTING, false),
							new CrashEvidence("i-" + i, i * SECOND_NANOS, CrashPhase.IN_PROGRESS, i == 2))));
		}
		reports.addAll(reports);
		final Random random = new Random(7);
		for (int i = 0; i < 50; i++) {
			Collections.shuffle(reports, random);
			final GossipQuarantine daemon = new GossipQuarantine();
			reports.forEach((request) -> daemon.onPeerReports(10, List.of(request)));
			assertThat(daemon.quarantined()).containsExactly("a");
		}
	}

	/**
	 * Guards against an outage, or a caller that sends many distinct bodies, exhausting
	 * the memory or evicting quarantined requests.
	 */
	@Test
	void theRegistryIsBoundedAndEvictsTheWeakestEvidence() {
		quarantine(0, "a");
		for (int i = 0; i < 3 * CrashRegistry.MAX_REQUESTS; i++) {
			crash(i, "bystander-" + i, "i-" + i, CrashPhase.STARTING);
		}
		assertThat(this.registry.isQuarantined("a")).isTrue();
		assertThat(this.registry.reports(0)).hasSize(CrashRegistry.MAX_REQUESTS);
		assertThat(this.registry.gossipSample(0)).hasSize(CrashRegistry.MAX_SAMPLED);
		assertThat(this.registry.knownSuspects()).hasSize(CrashRegistry.MAX_KNOWN_SUSPECTS)
			.first()
			.extracting(SuspectedRequest::fingerprint)
			.isEqualTo("a");
	}

	@Test
	void theNumberOfQuarantinedRequestsIsBounded() {
		for (int i = 0; i < CrashRegistry.MAX_QUARANTINED + 10; i++) {
			quarantine(0, "a" + i + "-");
		}
		assertThat(this.registry.quarantined()).hasSize(CrashRegistry.MAX_QUARANTINED);
	}

}
