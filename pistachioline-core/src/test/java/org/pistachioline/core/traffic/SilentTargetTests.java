package org.pistachioline.core.traffic;

import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.IntSupplier;
import java.util.stream.LongStream;

import org.junit.jupiter.api.Test;

import org.pistachioline.core.admission.FleetAdmission;
import org.pistachioline.core.quarantine.GossipQuarantine;
import org.pistachioline.core.retry.RetryBudget;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Load: streams whose sound targets are silent for a second and go on, while other
 * targets are full or cannot be connected to.
 */
class SilentTargetTests {

	private static final int MAX_ATTEMPTS = 2;

	private static final int DELIVERED_TOKENS = 10;

	private static final long DEADLINE_MILLIS = 8_000;

	private static final long SILENCE_MILLIS = 600;

	private static final int TICK_MILLIS = 50;

	private static final long BUDGET_WINDOW_NANOS = 10_000_000_000L;

	private static final IntSupplier DAEMON_COUNT = () -> 2;

	private final TrafficSimulation simulation = simulation(false, 100);

	static TrafficSimulation simulation(boolean fleetDecisions, int retryBurst) {
		final RetryBudget budget = new RetryBudget(0.2, retryBurst, BUDGET_WINDOW_NANOS);
		return new TrafficSimulation(fleetDecisions
				? RoutingPolicies.createForFleet("a", 1, budget, DAEMON_COUNT, new GossipQuarantine(),
						new FleetAdmission(1, DAEMON_COUNT))
				: RoutingPolicies.create("a", 1, budget, DAEMON_COUNT, new GossipQuarantine()));
	}

	// Guards against a stream that is broken off because the target it was moved to is
	// full, although the silent target that it left goes on a moment later.
	@Test
	void aStreamGoesOnAfterItsNextTargetDeclines() {
		final TrafficSimulation.Request request = startStreamAndLeaveItsTarget("t1", "t2");
		this.simulation.end(request.liveAttempt, AttemptOutcome.DECLINED);
		assertThatItGoesOn(request);
	}

	// Guards against a stream that is broken off because the target it was moved to
	// cannot be connected to.
	@Test
	void aStreamGoesOnAfterItsNextTargetCannotBeConnectedTo() {
		final TrafficSimulation.Request request = startStreamAndLeaveItsTarget("t1", "t2");
		this.simulation.end(request.liveAttempt, AttemptOutcome.NOT_CONNECTED);
		assertThatItGoesOn(request);
	}

	// Guards against a stream that is broken off because the only other target leaves the
	// list while the stream is on its way there.
	@Test
	void aStreamGoesOnAfterTheOtherTargetLeavesTheList() {
		final TrafficSimulation.Attempt old = startStream("t1", "t2");
		tick(SILENCE_MILLIS);
		assertThat(old.cancelled).isTrue();
		this.simulation.targets(TrafficSimulation.model(old.targetId, true));
		this.simulation.end(old.id, AttemptOutcome.CANCELLED);
		assertThatItGoesOn(old.request);
	}

	// Guards against a stream that is broken off because its next target crashes, though
	// the silent target that it left goes on.
	@Test
	void aStreamGoesOnAtTheTargetThatItLeftAfterItsNextTargetCrashes() {
		final TrafficSimulation.Request request = startStreamAndLeaveItsTarget("t1", "t2");
		this.simulation.progress(request.liveAttempt, 1);
		this.simulation.end(request.liveAttempt, AttemptOutcome.BROKEN);
		assertThatItGoesOn(request);
	}

	// Guards against a stream that is broken off because no retry budget is left once it
	// has left its target.
	@Test
	void aStreamThatLeftItsTargetWaitsForTheRetryBudget() {
		final TrafficSimulation scarce = simulation(false, 4);
		scarce.targets(TrafficSimulation.model("t1", true), TrafficSimulation.model("t2", true));
		final TrafficSimulation.Request request = arrive(scarce, 1);
		scarce.progress(request.liveAttempt, DELIVERED_TOKENS);
		tick(scarce, SILENCE_MILLIS);
		scarce.end(request.liveAttempt, AttemptOutcome.CANCELLED);
		scarce.end(request.liveAttempt, AttemptOutcome.DECLINED);
		tick(scarce, 1_000);
		assertThat(request.ended).isFalse();
		assertThat(request.liveAttempt).isNull();
		for (int arrival = 2; arrival < 12; arrival++) {
			scarce.end(arrive(scarce, arrival).liveAttempt, AttemptOutcome.COMPLETE);
		}
		tick(scarce, 1_000);
		assertThat(request.liveAttempt).isNotNull();
	}

	// Guards against streams that leave their sound targets because the daemon itself was
	// paused and has not read their output.
	@Test
	void aPauseOfTheDaemonIsNotTakenForSilentTargets() {
		final TrafficSimulation.Attempt running = startStream("t1", "t2");
		this.simulation.nowNanos += 2_000_000_000L;
		this.simulation.core.onPause(this.simulation.nowNanos, 2_000_000_000L);
		tick(SILENCE_MILLIS - TICK_MILLIS);
		assertThat(running.cancelled).isFalse();
		tick(TICK_MILLIS);
		assertThat(running.cancelled).isTrue();
	}

	// Guards against a stream that is run by more targets than its route allows.
	@Test
	void aStreamThatLeftItsTargetIsRunByNoMoreTargetsThanItsRouteAllows() {
		final TrafficSimulation.Attempt old = startStream("t1", "t2", "t3", "t4");
		tick(SILENCE_MILLIS);
		this.simulation.end(old.id, AttemptOutcome.CANCELLED);
		final Set<String> targetIds = new HashSet<>(Set.of(old.targetId));
		while (!old.request.ended) {
			if (old.request.liveAttempt != null) {
				targetIds.add(this.simulation.liveAttempts.get(old.request.liveAttempt).targetId);
				runAndBreak(old.request);
			}
			tick(TICK_MILLIS);
		}
		assertThat(targetIds).hasSize(MAX_ATTEMPTS);
	}

	// Guards against a target that ran the stream and no longer counts towards the
	// route's limit once a return there finds no connection.
	@Test
	void aReturnWithoutAConnectionFreesNoFurtherTarget() {
		final TrafficSimulation.Attempt old = startStream("t1", "t2", "t3", "t4");
		tick(SILENCE_MILLIS);
		this.simulation.end(old.id, AttemptOutcome.CANCELLED);
		final Set<String> ranIds = new HashSet<>(Set.of(old.targetId));
		while (!old.request.ended) {
			if (old.request.liveAttempt != null) {
				if (ranIds.add(this.simulation.liveAttempts.get(old.request.liveAttempt).targetId)) {
					runAndBreak(old.request);
				}
				else {
					this.simulation.end(old.request.liveAttempt, AttemptOutcome.NOT_CONNECTED);
				}
			}
			tick(TICK_MILLIS);
		}
		assertThat(ranIds).hasSize(MAX_ATTEMPTS);
	}

	private void runAndBreak(TrafficSimulation.Request request) {
		this.simulation.progress(request.liveAttempt, 1);
		this.simulation.end(request.liveAttempt, AttemptOutcome.BROKEN);
	}

	// Guards against a stream that is broken off because a target that declined it counts
	// as one of those that its route allows, although others serve.
	@Test
	void aStreamGoesOnAtAThirdTargetAfterTheOthersLeaveTheList() {
		final TrafficSimulation.Request request = startStreamAndLeaveItsTarget("t1", "t2");
		this.simulation.end(request.liveAttempt, AttemptOutcome.DECLINED);
		this.simulation.targets(TrafficSimulation.model("t3", true));
		assertThatItGoesOn(request);
	}

	// Guards against a sound target that gets no new request for ten seconds because
	// several streams left it during one silence.
	@Test
	void aTargetThatWasSilentOnceIsNotEjected() {
		this.simulation.targets(TrafficSimulation.model("t1", true));
		final List<TrafficSimulation.Request> requests = LongStream.rangeClosed(1, TrafficSimulation.SLOTS)
			.mapToObj((id) -> arrive(this.simulation, id))
			.toList();
		this.simulation.targets(TrafficSimulation.model("t1", true), TrafficSimulation.model("t2", true),
				TrafficSimulation.model("t3", true));
		tick(SILENCE_MILLIS);
		requests.forEach((request) -> this.simulation.end(request.liveAttempt, AttemptOutcome.CANCELLED));
		requests.forEach((request) -> this.simulation.end(request.liveAttempt, AttemptOutcome.COMPLETE));
		tick(1_000);
		this.simulation.targets(TrafficSimulation.model("t1", true));
		assertThat(arrive(this.simulation, TrafficSimulation.SLOTS + 1).liveAttempt).isNotNull();
	}

	// Guards against a caller who is held until the deadline although none of its targets
	// serves any more.
	@Test
	void aStreamThatLeftItsTargetFailsAtOnceWhenNoTargetIsLeft() {
		final TrafficSimulation.Request request = startStreamAndLeaveItsTarget("t1", "t2");
		this.simulation.end(request.liveAttempt, AttemptOutcome.DECLINED);
		this.simulation.targets(TrafficSimulation.model("t1", false), TrafficSimulation.model("t2", false));
		assertThat(request.ended).isTrue();
	}

	static TrafficSimulation.Request arrive(TrafficSimulation world, long requestId) {
		return world.arrive(new RequestInfo(requestId, "w", TargetKind.MODEL, "m", 1, 100, 0,
				world.nowNanos + DEADLINE_MILLIS * 1_000_000, world.nowNanos + DEADLINE_MILLIS * 1_000_000, true,
				ClaimRequirement.NONE, "f" + requestId, List.of(), MAX_ATTEMPTS, world.nowNanos + 400_000_000L));
	}

	private TrafficSimulation.Attempt startStream(String... targetIds) {
		this.simulation.targets(
				Arrays.stream(targetIds).map((id) -> TrafficSimulation.model(id, true)).toArray(TargetView[]::new));
		final TrafficSimulation.Request request = arrive(this.simulation, 1);
		this.simulation.progress(request.liveAttempt, DELIVERED_TOKENS);
		return this.simulation.liveAttempts.get(request.liveAttempt);
	}

	private TrafficSimulation.Request startStreamAndLeaveItsTarget(String... targetIds) {
		final TrafficSimulation.Attempt old = startStream(targetIds);
		tick(SILENCE_MILLIS);
		assertThat(old.cancelled).isTrue();
		this.simulation.end(old.id, AttemptOutcome.CANCELLED);
		assertThat(old.request.liveAttempt).isNotNull();
		return old.request;
	}

	private void assertThatItGoesOn(TrafficSimulation.Request request) {
		tick(1_000);
		assertThat(request.ended).isFalse();
		assertThat(request.liveAttempt).isNotNull();
		this.simulation.progress(request.liveAttempt, 1);
		this.simulation.end(request.liveAttempt, AttemptOutcome.COMPLETE);
		assertThat(request.finalAction).isInstanceOf(TrafficAction.Finish.class);
	}

	private void tick(long millis) {
		tick(this.simulation, millis);
	}

	static void tick(TrafficSimulation world, long millis) {
		for (long passed = 0; passed < millis; passed += TICK_MILLIS) {
			world.advance(TICK_MILLIS);
		}
	}

}
