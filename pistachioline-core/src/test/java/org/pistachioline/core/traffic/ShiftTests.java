package org.pistachioline.core.traffic;

import org.junit.jupiter.api.Test;

import org.pistachioline.core.error.ErrorKind;
import org.pistachioline.core.error.RunState;
import org.pistachioline.core.quarantine.LogBasedQuarantine;

import static org.assertj.core.api.Assertions.assertThat;

class ShiftTests {

	private static final int DELIVERED = 10;

	private final TrafficHistory history = new TrafficHistory(new LogBasedQuarantine());

	private TrafficHistory.Attempt onlyAttempt() {
		assertThat(this.history.live).hasSize(1);
		return this.history.live.values().iterator().next();
	}

	private TrafficHistory.Attempt streaming(TargetView... views) {
		this.history.targets(views);
		this.history.arrive(1, TargetKind.MODEL, "f", false);
		this.history.progress(onlyAttempt().id, DELIVERED);
		return onlyAttempt();
	}

	// A group stands still without closing its connections: a member was paused. The
	// caller would wait for its deadline. The stream is resumed elsewhere, but only once
	// the old attempt is known to have ended, with the tokens that still came.
	@Test
	void aStreamOnAGroupThatStandsStillIsResumedElsewhere() {
		final TrafficHistory.Attempt old = streaming(TrafficHistory.model("g0@1", true),
				TrafficHistory.model("g1@1", true));
		this.history.pass(5_000);
		assertThat(old.cancelled).isTrue();
		this.history.pass(5_000);
		assertThat(onlyAttempt()).isSameAs(old);
		old.request.delivered++;
		this.history.end(old.id, AttemptEnd.CANCELLED);
		assertThat(onlyAttempt().targetId).isNotEqualTo(old.targetId);
		this.history.end(onlyAttempt().id, AttemptEnd.COMPLETE);
		assertThat(old.request.end).isInstanceOf(TrafficAction.Finish.class);
	}

	// A drained group goes on with what it has. Only answers that are still running after
	// half a minute move, so that a planned stop neither cuts nor waits for the longest.
	@Test
	void aStreamOnADrainingGroupMovesOnlyAfterTheBound() {
		final TrafficHistory.Attempt old = streaming(TrafficHistory.model("g0@1", true));
		this.history.targets(TrafficHistory.model("g0@1", false), TrafficHistory.model("g1@1", true));
		for (int second = 1; second < 30; second++) {
			this.history.pass(1_000);
			this.history.progress(old.id, 1);
			assertThat(old.cancelled).isFalse();
		}
		this.history.pass(1_000);
		assertThat(old.cancelled).isTrue();
	}

	// The last group of a model drains. There is nowhere to go, so nothing is cut.
	@Test
	void aStreamWithNowhereToGoIsLeftAlone() {
		final TrafficHistory.Attempt old = streaming(TrafficHistory.model("g0@1", true));
		this.history.targets(TrafficHistory.model("g0@1", false));
		this.history.pass(60_000);
		assertThat(old.cancelled).isFalse();
	}

	// The only group dies and no other serves. The caller is told at once that the
	// request
	// may have run and when to come back, and is not held until its deadline.
	@Test
	void aStreamThatNoGroupCanResumeEndsAtOnce() {
		final TrafficHistory.Attempt old = streaming(TrafficHistory.model("g0@1", true));
		this.history.end(old.id, AttemptEnd.BROKEN);
		assertThat(old.request.end).isEqualTo(new TrafficAction.Fail(1, ErrorKind.TARGET_FAILED, RunState.RAN, 1_000));
	}

}
