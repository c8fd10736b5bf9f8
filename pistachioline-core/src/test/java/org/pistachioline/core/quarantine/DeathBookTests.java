package org.pistachioline.core.quarantine;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class DeathBookTests {

	private static final long MINUTE_NANOS = 60_000_000_000L;

	private final DeathBook book = new DeathBook(SharedDeaths.DEATHS_TO_QUARANTINE);

	private void dies(long nowNanos, String fingerprint, String targetId, DeathPhase phase) {
		this.book.add(nowNanos, fingerprint, new TargetDeath(targetId, nowNanos, phase, false));
		this.book.judge(nowNanos);
	}

	private void condemn(long nowNanos, String fingerprint) {
		for (int i = 0; i < SharedDeaths.DEATHS_TO_QUARANTINE; i++) {
			dies(nowNanos, fingerprint, fingerprint + i, DeathPhase.BEGINNING);
		}
	}

	@Test
	void threeTargetsThatDieAsTheyBeginBarARequest() {
		dies(0, "a", "i-1", DeathPhase.BEGINNING);
		dies(0, "a", "i-2", DeathPhase.BEGINNING);
		dies(0, "a", "i-2", DeathPhase.BEGINNING);
		assertThat(this.book.isQuarantined("a")).isFalse();
		dies(0, "a", "i-3", DeathPhase.BEGINNING);
		assertThat(this.book.isQuarantined("a")).isTrue();
	}

	@Test
	void ofTargetsThatHadBeenAnsweringForAWhileItTakesSix() {
		for (int i = 0; i < 5; i++) {
			dies(0, "a", "i-" + i, DeathPhase.UNDER_WAY);
		}
		assertThat(this.book.isQuarantined("a")).isFalse();
		dies(0, "a", "i-5", DeathPhase.UNDER_WAY);
		assertThat(this.book.isQuarantined("a")).isTrue();
	}

	@Test
	void oneEndInOrderExcusesAllDeathsBeforeIt() {
		condemn(0, "a");
		this.book.excuse("a");
		assertThat(this.book.isQuarantined("a")).isFalse();
		dies(0, "a", "i-8", DeathPhase.BEGINNING);
		dies(0, "a", "i-9", DeathPhase.BEGINNING);
		assertThat(this.book.isQuarantined("a")).isFalse();
	}

	/**
	 * Guards against a popular request that has outlived many targets, and is never
	 * barred when it begins to crash them.
	 */
	@Test
	void excusedDeathsLeaveRoomForLaterOnes() {
		for (int i = 0; i < 20; i++) {
			dies(0, "a", "before-" + i, DeathPhase.BEGINNING);
			this.book.excuse("a");
		}
		condemn(0, "a");
		assertThat(this.book.isQuarantined("a")).isTrue();
	}

	/**
	 * Guards against a request that is barred since it ran beside one that crashes
	 * targets three times.
	 */
	@Test
	void whatRanBesideTheCulpritEachTimeIsNotBarredWithIt() {
		for (final String targetId : List.of("i-1", "i-2", "i-3")) {
			dies(0, "culprit", targetId, DeathPhase.BEGINNING);
			dies(0, "beside", targetId, DeathPhase.BEGINNING);
		}
		assertThat(this.book.quarantined()).doesNotContain("beside");
		dies(0, "culprit", "i-4", DeathPhase.BEGINNING);
		assertThat(this.book.quarantined()).containsExactly("culprit");
	}

	/**
	 * Guards against a caller who goes on for hours and costs three targets each time
	 * that the quarantine has expired.
	 */
	@Test
	void afterAQuarantineOneDeathBarsARequestAnew() {
		condemn(0, "a");
		this.book.onTick(11 * MINUTE_NANOS);
		assertThat(this.book.isQuarantined("a")).isFalse();
		dies(12 * MINUTE_NANOS, "a", "i-9", DeathPhase.BEGINNING);
		assertThat(this.book.isQuarantined("a")).isTrue();
	}

	@Test
	void aSuspicionThatNothingFollowsIsForgotten() {
		dies(0, "a", "i-1", DeathPhase.BEGINNING);
		dies(0, "a", "i-2", DeathPhase.BEGINNING);
		this.book.onTick(3 * MINUTE_NANOS);
		dies(3 * MINUTE_NANOS, "a", "i-3", DeathPhase.BEGINNING);
		assertThat(this.book.isQuarantined("a")).isFalse();
	}

	/**
	 * Guards against daemons that come to different verdicts since frames reached them in
	 * another order, or twice.
	 */
	@Test
	void whatIsToldInAnyOrderLeadsToTheSameVerdict() {
		final List<SuspectedRequest> told = new ArrayList<>();
		for (int i = 0; i < 4; i++) {
			told.add(new SuspectedRequest("a", List.of(new TargetDeath("i-" + i, i, DeathPhase.BEGINNING, false))));
			told.add(new SuspectedRequest("b", List.of(new TargetDeath("i-" + i, i, DeathPhase.BEGINNING, false),
					new TargetDeath("i-" + i, i, DeathPhase.UNDER_WAY, i == 2))));
		}
		told.addAll(told);
		final Random random = new Random(7);
		for (int i = 0; i < 50; i++) {
			Collections.shuffle(told, random);
			final SharedDeaths daemon = new SharedDeaths();
			told.forEach((request) -> daemon.onTold(10, List.of(request)));
			assertThat(daemon.quarantined()).containsExactly("a");
		}
	}

	/**
	 * Guards against an outage, or a caller who makes up bodies, that fills the memory or
	 * drives out what is barred.
	 */
	@Test
	void theBookIsBoundedAndForgetsWhatTellsLeast() {
		condemn(0, "a");
		for (int i = 0; i < 3 * DeathBook.MOST_REQUESTS; i++) {
			dies(i, "innocent-" + i, "i-" + i, DeathPhase.BEGINNING);
		}
		assertThat(this.book.isQuarantined("a")).isTrue();
		assertThat(this.book.reports(0)).hasSize(DeathBook.MOST_REQUESTS);
		assertThat(this.book.sample(0)).hasSize(DeathBook.MOST_TOLD);
		assertThat(this.book.known()).hasSize(DeathBook.MOST_KNOWN)
			.first()
			.extracting(SuspectedRequest::fingerprint)
			.isEqualTo("a");
	}

	@Test
	void onlySoManyRequestsAreBarredAtOnce() {
		for (int i = 0; i < DeathBook.MOST_QUARANTINED + 10; i++) {
			condemn(0, "a" + i + "-");
		}
		assertThat(this.book.quarantined()).hasSize(DeathBook.MOST_QUARANTINED);
	}

}
