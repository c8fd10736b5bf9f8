package org.pistachioline.core.traffic;

import java.util.List;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import org.pistachioline.core.error.ErrorKind;
import org.pistachioline.core.error.RunState;
import org.pistachioline.core.quarantine.GossipQuarantine;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Load: callers who keep sending requests to a daemon that is leaving.
 */
class DrainTests {

	private static final int SAMPLES = 20;

	private static final long DEADLINE_MILLIS = 8_000;

	private final TrafficSimulation simulation = new TrafficSimulation(new GossipQuarantine());

	private long lastRequestId;

	// Guards against requests that are accepted and cut off when the process ends.
	@Test
	void aRequestThatMayOutlastTheDrainIsRefusedAtOnceAsNotRun() {
		startTarget();
		drain(5_000, 700);
		final List<TrafficAction> actions = offer(DEADLINE_MILLIS, 60);
		assertThat(actions).singleElement().isInstanceOfSatisfying(TrafficAction.Fail.class, (refusal) -> {
			assertThat(refusal.kind()).isEqualTo(ErrorKind.LEAVING);
			assertThat(refusal.runState()).isEqualTo(RunState.NOT_RUN);
			assertThat(refusal.retryAfterMillis()).isBetween(700L, 1_400L);
		});
	}

	// Guards against a fleet that serves nobody while its daemons restart in turn.
	@Test
	void aRequestWhoseDeadlineFitsIntoTheDrainIsAccepted() {
		startTarget();
		drain(5_000, 700);
		assertThat(offer(4_900, 60)).singleElement().isInstanceOf(TrafficAction.Start.class);
	}

	// Guards against the refusal of short requests whose callers would wait for long.
	@Test
	void aRequestIsAcceptedWhileOthersLikeItEndedWithinTheTimeThatIsLeft() {
		startTarget();
		completeRequests(SAMPLES, 60, 2_000);
		drain(2_300, 700);
		assertThat(offer(DEADLINE_MILLIS, 60)).singleElement().isInstanceOf(TrafficAction.Start.class);
		drain(2_100, 700);
		assertThat(offer(DEADLINE_MILLIS, 60)).singleElement().isInstanceOf(TrafficAction.Fail.class);
	}

	// Guards against long streams that are taken for short ones of the same model.
	@Test
	void aLargerRequestThanThoseThatEndedIsRefused() {
		startTarget();
		completeRequests(SAMPLES, 60, 500);
		drain(2_000, 700);
		assertThat(offer(DEADLINE_MILLIS, 500)).singleElement().isInstanceOf(TrafficAction.Fail.class);
		assertThat(offer(DEADLINE_MILLIS, 4)).singleElement().isInstanceOf(TrafficAction.Start.class);
	}

	// Guards against an estimate from a few requests that happened to be short.
	@Test
	void aFewRequestsAreNoEstimate() {
		startTarget();
		completeRequests(SAMPLES - 1, 60, 500);
		drain(2_000, 700);
		assertThat(offer(DEADLINE_MILLIS, 60)).singleElement().isInstanceOf(TrafficAction.Fail.class);
	}

	// Guards against bookings that are interrupted while it is unknown whether they ran.
	@Test
	void aRequestThatMayRunOnlyOnceIsAcceptedOnlyIfItsDeadlineFits() {
		startTarget();
		completeRequests(SAMPLES, 60, 500);
		drain(5_000, 100);
		assertThat(offerOnce(DEADLINE_MILLIS)).singleElement()
			.isInstanceOfSatisfying(TrafficAction.Fail.class, (refusal) -> {
				assertThat(refusal.kind()).isEqualTo(ErrorKind.LEAVING);
				assertThat(refusal.runState()).isEqualTo(RunState.NOT_RUN);
			});
		assertThat(offerOnce(4_900)).singleElement().isInstanceOf(TrafficAction.Start.class);
	}

	// Guards against estimates where another daemon is ready for all callers.
	@Test
	void withoutEstimatesOnlyADeadlineThatFitsIsAccepted() {
		startTarget();
		completeRequests(SAMPLES, 60, 500);
		drain(3_000, 100, DrainAcceptance.DEADLINE);
		assertThat(offer(DEADLINE_MILLIS, 60)).singleElement().isInstanceOf(TrafficAction.Fail.class);
		assertThat(offer(2_900, 60)).singleElement().isInstanceOf(TrafficAction.Start.class);
	}

	// Guards against streams that are cut off because all before them were shorter.
	@Test
	void afterTheEstimatesAStreamIsAcceptedOnlyIfAllTheOutputThatItMayHaveFits() {
		startTarget();
		completeStreams(SAMPLES, 3, 100);
		drain(3_000, 100, DrainAcceptance.OUTPUT_LIMIT);
		assertThat(offer(DEADLINE_MILLIS, 60)).singleElement().isInstanceOf(TrafficAction.Fail.class);
		assertThat(offer(DEADLINE_MILLIS, 20)).singleElement().isInstanceOf(TrafficAction.Start.class);
		drain(3_000, 100, DrainAcceptance.ESTIMATE);
		assertThat(offer(DEADLINE_MILLIS, 60)).singleElement().isInstanceOf(TrafficAction.Start.class);
	}

	// Guards against a limit at the usual pace while some streams are slower.
	@Test
	void theSlowestStreamThatStillRunsCounts() {
		startTarget();
		completeStreams(SAMPLES, 3, 100);
		final TrafficAction.Start slow = (TrafficAction.Start) offer(60_000, 60).get(0);
		progress(slow, 1, 100);
		progress(slow, 2, 400);
		drain(3_000, 100, DrainAcceptance.OUTPUT_LIMIT);
		assertThat(offer(DEADLINE_MILLIS, 20)).singleElement().isInstanceOf(TrafficAction.Fail.class);
		assertThat(offer(DEADLINE_MILLIS, 4)).singleElement().isInstanceOf(TrafficAction.Start.class);
	}

	// Guards against callers who are sent away without a limit of output to go by.
	@Test
	void withoutALimitOfOutputOnlyADeadlineThatFitsIsAccepted() {
		startTarget();
		completeStreams(SAMPLES, 3, 100);
		drain(3_000, 100, DrainAcceptance.OUTPUT_LIMIT);
		assertThat(offer(DEADLINE_MILLIS, 0)).singleElement().isInstanceOf(TrafficAction.Fail.class);
		assertThat(offer(2_900, 0)).singleElement().isInstanceOf(TrafficAction.Start.class);
	}

	// Guards against callers who come back before anybody can serve them.
	@Test
	void aRefusalNamesATimeAfterTheLastRequestOfTheOnlyDaemon() {
		startTarget();
		offer(2_000, 60);
		this.simulation.core.onDrain(new Drain(this.simulation.nowNanos + TimeUnit.MILLISECONDS.toNanos(5_000),
				DrainAcceptance.NOTHING, 1_000, true));
		assertThat(offer(2_000, 60)).singleElement()
			.isInstanceOfSatisfying(TrafficAction.Fail.class,
					(refusal) -> assertThat(refusal.retryAfterMillis()).isBetween(3_000L, 4_000L));
	}

	// Guards against streams that wait for a target until too little time is left.
	@Test
	void aRequestThatHasWaitedForTooLongIsRefusedAsNotRun() {
		startTarget();
		completeStreams(SAMPLES, 3, 100);
		this.simulation.targets(TrafficSimulation.model("t1", false));
		offer(DEADLINE_MILLIS, 20);
		drain(3_000, 100, DrainAcceptance.OUTPUT_LIMIT);
		assertThat(this.simulation.core.onTick(this.simulation.nowNanos)).isEmpty();
		this.simulation.nowNanos += TimeUnit.MILLISECONDS.toNanos(1_000);
		assertThat(this.simulation.core.onTick(this.simulation.nowNanos)).singleElement()
			.isInstanceOfSatisfying(TrafficAction.Fail.class, (refusal) -> {
				assertThat(refusal.kind()).isEqualTo(ErrorKind.LEAVING);
				assertThat(refusal.runState()).isEqualTo(RunState.NOT_RUN);
			});
	}

	// Guards against a daemon that does not notice that it only refuses.
	@Test
	void theReportTellsWhatWasAcceptedAndRefusedLately() {
		startTarget();
		drain(5_000, 700);
		offer(4_900, 60);
		offer(DEADLINE_MILLIS, 60);
		offer(DEADLINE_MILLIS, 60);
		this.simulation.nowNanos += TimeUnit.MILLISECONDS.toNanos(200);
		assertThat(this.simulation.core.drainReport(this.simulation.nowNanos))
			.isEqualTo(new DrainReport(1, 2, TimeUnit.MILLISECONDS.toNanos(200)));
		this.simulation.nowNanos += TimeUnit.MILLISECONDS.toNanos(600);
		assertThat(this.simulation.core.drainReport(this.simulation.nowNanos).refusesMost()).isFalse();
	}

	// Guards against an estimate that leaves out the slowest requests, as they still run.
	@Test
	void aRequestIsRefusedWhileOneLikeItRunsForLongerThanTheTimeThatIsLeft() {
		startTarget();
		offer(60_000, 60);
		completeRequests(SAMPLES, 60, 500);
		drain(5_000, 100);
		assertThat(offer(DEADLINE_MILLIS, 60)).singleElement().isInstanceOf(TrafficAction.Fail.class);
	}

	// Guards against a daemon that hangs on a size that no request can have.
	@Test
	@Timeout(10)
	void aSizeBelowZeroIsTakenForZero() {
		startTarget();
		completeRequests(SAMPLES, -1, 500);
		drain(2_000, 700);
		assertThat(offer(DEADLINE_MILLIS, -1)).singleElement().isInstanceOf(TrafficAction.Start.class);
		assertThat(offer(DEADLINE_MILLIS, Integer.MIN_VALUE)).singleElement().isInstanceOf(TrafficAction.Start.class);
	}

	// Guards against requests that keep their connections open until the process is gone.
	@Test
	void whatIsLeftAtTheEndOfTheDrainGetsAnAnswerThatIsTrue() {
		startTarget();
		final TrafficSimulation.Request running = this.simulation.arriveUnclaimed(1, TargetKind.MODEL, "f", false);
		assertThat(running.liveAttempt).isNotNull();
		this.simulation.targets(TrafficSimulation.model("t1", false));
		final TrafficSimulation.Request queued = this.simulation.arriveUnclaimed(2, TargetKind.MODEL, "g", false);
		drain(0, 700);
		final List<TrafficAction> actions = this.simulation.core.interruptAll(this.simulation.nowNanos);
		assertThat(actions).filteredOn(TrafficAction.Fail.class::isInstance).extracting((action) -> {
			final TrafficAction.Fail failure = (TrafficAction.Fail) action;
			return failure.requestId() + " " + failure.kind() + " " + failure.runState();
		}).containsExactly("1 INTERRUPTED UNKNOWN", "2 LEAVING NOT_RUN");
		assertThat(queued.liveAttempt).isNull();
		assertThat(this.simulation.core.activeRequestCount()).isZero();
	}

	private void startTarget() {
		this.simulation.targets(TrafficSimulation.model("t1", true));
	}

	private void drain(long endsInMillis, long retryAfterMillis) {
		drain(endsInMillis, retryAfterMillis, DrainAcceptance.ESTIMATE);
	}

	private void drain(long endsInMillis, long retryAfterMillis, DrainAcceptance acceptance) {
		this.simulation.core.onDrain(new Drain(this.simulation.nowNanos + TimeUnit.MILLISECONDS.toNanos(endsInMillis),
				acceptance, retryAfterMillis, false));
	}

	private void completeRequests(int count, int maxOutputTokens, long tookMillis) {
		for (int i = 0; i < count; i++) {
			final TrafficAction.Start start = (TrafficAction.Start) offer(DEADLINE_MILLIS, maxOutputTokens).get(0);
			this.simulation.nowNanos += TimeUnit.MILLISECONDS.toNanos(tookMillis);
			this.simulation.core.onProgress(this.simulation.nowNanos, start.attempt(), 1);
			this.simulation.core.onAttemptEnd(this.simulation.nowNanos, start.attempt(), AttemptOutcome.COMPLETE, 1);
		}
	}

	private void completeStreams(int count, int events, long intervalMillis) {
		for (int i = 0; i < count; i++) {
			final TrafficAction.Start start = (TrafficAction.Start) offer(DEADLINE_MILLIS, 60).get(0);
			for (int event = 1; event <= events; event++) {
				progress(start, event, intervalMillis);
			}
			this.simulation.core.onAttemptEnd(this.simulation.nowNanos, start.attempt(), AttemptOutcome.COMPLETE,
					events);
		}
	}

	private void progress(TrafficAction.Start start, int events, long afterMillis) {
		this.simulation.nowNanos += TimeUnit.MILLISECONDS.toNanos(afterMillis);
		this.simulation.core.onProgress(this.simulation.nowNanos, start.attempt(), events);
	}

	private List<TrafficAction> offer(long deadlineMillis, int maxOutputTokens) {
		return offer(deadlineMillis, maxOutputTokens, true);
	}

	private List<TrafficAction> offerOnce(long deadlineMillis) {
		return offer(deadlineMillis, 60, false);
	}

	private List<TrafficAction> offer(long deadlineMillis, int maxOutputTokens, boolean idempotent) {
		this.lastRequestId++;
		final long nowNanos = this.simulation.nowNanos;
		final long deadlineNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(deadlineMillis);
		return this.simulation.core.onRequest(nowNanos,
				new RequestInfo(this.lastRequestId, "w", TargetKind.MODEL, "m", 1, maxOutputTokens, 0, deadlineNanos,
						deadlineNanos, idempotent, ClaimRequirement.NONE, "f" + this.lastRequestId, List.of()));
	}

}
