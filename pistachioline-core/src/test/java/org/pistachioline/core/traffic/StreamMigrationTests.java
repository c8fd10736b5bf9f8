package org.pistachioline.core.traffic;

import org.junit.jupiter.api.Test;

import org.pistachioline.core.error.ErrorKind;
import org.pistachioline.core.error.RunState;
import org.pistachioline.core.quarantine.LogBasedQuarantine;

import static org.assertj.core.api.Assertions.assertThat;

class StreamMigrationTests {

	private static final int DELIVERED_TOKENS = 10;

	private final TrafficSimulation simulation = new TrafficSimulation(new LogBasedQuarantine());

	private TrafficSimulation.Attempt onlyAttempt() {
		assertThat(this.simulation.liveAttempts).hasSize(1);
		return this.simulation.liveAttempts.values().iterator().next();
	}

	private TrafficSimulation.Attempt startStream(TargetView... views) {
		this.simulation.targets(views);
		this.simulation.arrive(1, TargetKind.MODEL, "f", false);
		this.simulation.progress(onlyAttempt().id, DELIVERED_TOKENS);
		return onlyAttempt();
	}

	// Guards against callers that wait for their deadline when a group stalls without
	// closing its connections, as it does when a member is paused. The stream is resumed
	// elsewhere, but only after the old attempt is known to have ended, with the tokens
	// that it delivered until then.
	@Test
	void aStreamOnAStalledGroupIsResumedElsewhere() {
		final TrafficSimulation.Attempt old = startStream(TrafficSimulation.model("g0@1", true),
				TrafficSimulation.model("g1@1", true));
		this.simulation.advance(5_000);
		assertThat(old.cancelled).isTrue();
		this.simulation.advance(5_000);
		assertThat(onlyAttempt()).isSameAs(old);
		old.request.deliveredTokens++;
		this.simulation.end(old.id, AttemptOutcome.CANCELLED);
		assertThat(onlyAttempt().targetId).isNotEqualTo(old.targetId);
		this.simulation.end(onlyAttempt().id, AttemptOutcome.COMPLETE);
		assertThat(old.request.finalAction).isInstanceOf(TrafficAction.Finish.class);
	}

	// Guards against a planned shutdown that interrupts streams or waits for the longest
	// one. A draining group continues its streams, and only those that still run after
	// 30 seconds are migrated.
	@Test
	void aStreamOnADrainingGroupIsMigratedOnlyAfterTheDrainPeriod() {
		final TrafficSimulation.Attempt old = startStream(TrafficSimulation.model("g0@1", true));
		this.simulation.targets(TrafficSimulation.model("g0@1", false), TrafficSimulation.model("g1@1", true));
		for (int second = 1; second < 30; second++) {
			this.simulation.advance(1_000);
			this.simulation.progress(old.id, 1);
			assertThat(old.cancelled).isFalse();
		}
		this.simulation.advance(1_000);
		assertThat(old.cancelled).isTrue();
	}

	// Guards against the interruption of a stream that no other target can resume: the
	// last group of a model drains.
	@Test
	void aStreamWithoutAnotherTargetIsNotInterrupted() {
		final TrafficSimulation.Attempt old = startStream(TrafficSimulation.model("g0@1", true));
		this.simulation.targets(TrafficSimulation.model("g0@1", false));
		this.simulation.advance(60_000);
		assertThat(old.cancelled).isFalse();
	}

	// Guards against a caller that is held until its deadline when the only group crashes
	// and no other serves. It is told at once that the request may have run and when to
	// retry.
	@Test
	void aStreamThatNoGroupCanResumeFailsAtOnce() {
		final TrafficSimulation.Attempt old = startStream(TrafficSimulation.model("g0@1", true));
		this.simulation.end(old.id, AttemptOutcome.BROKEN);
		assertThat(old.request.finalAction).isEqualTo(
				new TrafficAction.Fail(1, ErrorKind.TARGET_FAILED, RunState.RAN, 1_000, FailureReason.NO_TARGET));
	}

}
