package org.pistachioline.core.traffic;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

import org.pistachioline.core.admission.FleetAdmission;
import org.pistachioline.core.placement.LiveDaemons;
import org.pistachioline.core.quarantine.CrashEvidence;
import org.pistachioline.core.quarantine.CrashPhase;
import org.pistachioline.core.quarantine.GossipQuarantine;
import org.pistachioline.core.quarantine.LogBasedQuarantine;
import org.pistachioline.core.quarantine.SuspectedRequest;
import org.pistachioline.core.quarantine.TargetCrash;
import org.pistachioline.core.retry.RetryBudget;

import static org.assertj.core.api.Assertions.assertThat;

class TrafficInvariantTests {

	private static final int STEPS = 400;

	private static final ClaimVerdict[] VERDICTS = ClaimVerdict.values();

	private long nextRequestId = 1;

	private long nextOffset = 1;

	// Guards against a non-idempotent request that ran although it was reported as not
	// run, a repeated token, and a request that never ends. Targets crash, drain, vanish
	// and return, responses are late, duplicated or foreign, claims are granted after
	// their request ended, and callers disconnect, in random order. The simulation checks
	// the invariants at each step; the property checks that every request has ended.
	@Property(seed = "7201", tries = 400, shrinking = ShrinkingMode.OFF)
	void eachRequestEndsOnceWithACorrectRunState(@ForAll long seed) {
		final Random random = new Random(seed);
		final TrafficSimulation simulation = new TrafficSimulation(new LogBasedQuarantine());
		changeTargets(simulation, random);
		for (int step = 0; step < STEPS; step++) {
			step(simulation, random);
		}
		simulation.nowNanos += 500_000_000_000L;
		simulation.advance(1);
		for (final long requestId : List.copyOf(simulation.pendingClaims.keySet())) {
			simulation.claim(requestId, ClaimVerdict.GRANTED, this.nextOffset++);
		}
		assertThat(simulation.requests.values()).allMatch((request) -> request.ended);
		assertThat(simulation.core.activeRequestCount()).isZero();
		assertThat(simulation.core.queuedRequestCount()).isZero();
		assertThat(simulation.heldClaims.keySet())
			.allMatch((requestId) -> simulation.requests.get(requestId).possibleRuns > 0);
	}

	/**
	 * Guards against the same faults with the policies of a daemon that relays requests
	 * by configured routes: a non-idempotent request that is sent twice or ran after it
	 * was refused, a quarantined request that is sent, and one that never ends.
	 */
	@Property(seed = "7202", tries = 400, shrinking = ShrinkingMode.OFF)
	void eachRelayedRequestEndsOnceWithACorrectRunState(@ForAll long seed) {
		relayRequests(seed, false, 2);
	}

	/**
	 * Guards against the same faults where a daemon of many prefers a subset of the
	 * targets, has a share of few slots and admits by the demand of the fleet.
	 */
	@Property(seed = "7203", tries = 200, shrinking = ShrinkingMode.OFF)
	void eachRequestOfADaemonWithSubsetsEndsOnceWithACorrectRunState(@ForAll long seed) {
		relayRequests(seed, true, 40);
	}

	private void relayRequests(long seed, boolean fleetDecisions, int daemonCount) {
		final Random random = new Random(seed);
		final RetryBudget budget = new RetryBudget(0.2, 100, 10_000_000_000L);
		final TrafficSimulation simulation = new TrafficSimulation(fleetDecisions
				? RoutingPolicies.createForFleet("a", seed, budget, () -> daemonCount, new GossipQuarantine(),
						new FleetAdmission(seed, () -> daemonCount))
				: RoutingPolicies.create("a", seed, budget, () -> daemonCount, new GossipQuarantine()));
		if (fleetDecisions) {
			final Set<String> daemonIds = IntStream.range(0, daemonCount)
				.mapToObj((index) -> "daemon-" + index)
				.collect(Collectors.toSet());
			simulation
				.apply(simulation.core.onShares(simulation.nowNanos, LiveDaemons.of("daemon-7", daemonIds), Map.of()));
		}
		changeTargets(simulation, random);
		for (int step = 0; step < STEPS; step++) {
			relayedStep(simulation, random);
		}
		simulation.nowNanos += 500_000_000_000L;
		simulation.advance(1);
		assertThat(simulation.requests.values()).allMatch((request) -> request.ended);
		assertThat(simulation.core.activeRequestCount()).isZero();
		assertThat(simulation.core.queuedRequestCount()).isZero();
	}

	private void relayedStep(TrafficSimulation simulation, Random random) {
		switch (random.nextInt(12)) {
			case 0, 1,
					2 ->
				simulation.arriveUnclaimed(this.nextRequestId++,
						random.nextBoolean() ? TargetKind.MODEL : TargetKind.SERVICE, "f" + random.nextInt(12),
						random.nextInt(3) > 0);
			case 3, 4 -> deliverTokens(simulation, random);
			case 5 -> simulation.advance(random.nextInt(4_000));
			case 6 -> changeTargets(simulation, random);
			case 7 -> reportPeerCrash(simulation, random);
			case 8 ->
				simulation.apply(simulation.core.onCallerDisconnected(simulation.nowNanos, 1 + random.nextLong(10)));
			case 9 -> deliverStaleEvents(simulation, random);
			case 10 -> crashAndReport(simulation, random);
			default -> endAttempt(simulation, random);
		}
	}

	private static void crashAndReport(TrafficSimulation simulation, Random random) {
		final String targetId = random.nextBoolean() ? "g" + random.nextInt(3) + "@1" : "s" + random.nextInt(3);
		final Set<String> fingerprints = simulation.liveAttempts.values()
			.stream()
			.filter((attempt) -> attempt.targetId.equals(targetId))
			.map((attempt) -> attempt.request.info.fingerprint())
			.collect(Collectors.toSet());
		simulation.crashTarget(targetId);
		simulation.core.targetCrashes()
			.onCrash(simulation.nowNanos,
					new TargetCrash(targetId + "-" + simulation.nowNanos, fingerprints, Set.of()));
		simulation.advance(1);
	}

	private static void reportPeerCrash(TrafficSimulation simulation, Random random) {
		final CrashEvidence death = new CrashEvidence("elsewhere-" + random.nextInt(20), simulation.nowNanos,
				random.nextBoolean() ? CrashPhase.STARTING : CrashPhase.IN_PROGRESS, random.nextInt(4) == 0);
		simulation.core.targetCrashes()
			.onPeerReports(simulation.nowNanos,
					List.of(new SuspectedRequest("f" + random.nextInt(12), List.of(death))));
		simulation.advance(1);
	}

	private void step(TrafficSimulation simulation, Random random) {
		switch (random.nextInt(12)) {
			case 0, 1, 2 -> arrive(simulation, random);
			case 3, 4 -> deliverTokens(simulation, random);
			case 5 -> simulation.advance(random.nextInt(4_000));
			case 6 -> changeTargets(simulation, random);
			case 7 -> answerClaim(simulation, random);
			case 8 ->
				simulation.apply(simulation.core.onCallerDisconnected(simulation.nowNanos, 1 + random.nextLong(10)));
			case 9 -> deliverStaleEvents(simulation, random);
			case 10 -> simulation.crashTarget("g" + random.nextInt(3) + "@1");
			default -> endAttempt(simulation, random);
		}
	}

	private void arrive(TrafficSimulation simulation, Random random) {
		final boolean keyed = random.nextInt(3) == 0;
		final TargetKind kind = (keyed || random.nextInt(4) == 0) ? TargetKind.SERVICE : TargetKind.MODEL;
		final String fingerprint = (kind == TargetKind.MODEL) ? "f" + random.nextInt(8) : "";
		simulation.arrive(this.nextRequestId++, kind, fingerprint, keyed);
	}

	private void deliverTokens(TrafficSimulation simulation, Random random) {
		final List<AttemptId> ids = new ArrayList<>(simulation.liveAttempts.keySet());
		if (!ids.isEmpty()) {
			simulation.progress(ids.get(random.nextInt(ids.size())), 1 + random.nextInt(20));
		}
	}

	private void endAttempt(TrafficSimulation simulation, Random random) {
		final List<AttemptId> ids = new ArrayList<>(simulation.liveAttempts.keySet());
		if (ids.isEmpty()) {
			return;
		}
		final AttemptId id = ids.get(random.nextInt(ids.size()));
		final AttemptOutcome[] outcomes = AttemptOutcome.values();
		final TrafficSimulation.Attempt attempt = simulation.liveAttempts.get(id);
		AttemptOutcome outcome = outcomes[random.nextInt(outcomes.length)];
		if (attempt.cancelled && outcome != AttemptOutcome.COMPLETE) {
			outcome = AttemptOutcome.CANCELLED;
		}
		else if (outcome == AttemptOutcome.NOT_CONNECTED && attempt.request.deliveredTokens > 0) {
			outcome = AttemptOutcome.BROKEN;
		}
		else if (outcome == AttemptOutcome.WITHHELD
				&& attempt.request.deliveredTokens > attempt.deliveredTokensAtStart) {
			outcome = AttemptOutcome.BROKEN;
		}
		simulation.end(id, outcome);
	}

	// Delivers events for an attempt that has ended or never existed.
	private void deliverStaleEvents(TrafficSimulation simulation, Random random) {
		final AttemptId stale = simulation.endedAttempts.isEmpty() ? new AttemptId(99_999, 1)
				: simulation.endedAttempts.get(random.nextInt(simulation.endedAttempts.size()));
		simulation.core.onProgress(simulation.nowNanos, stale, 1_000);
		simulation.apply(simulation.core.onAttemptEnd(simulation.nowNanos, stale, AttemptOutcome.COMPLETE, 1_000));
		simulation.apply(simulation.core.onClaim(simulation.nowNanos, stale.requestId(), ClaimVerdict.SETTLED, -1));
	}

	private void answerClaim(TrafficSimulation simulation, Random random) {
		final List<Long> ids = new ArrayList<>(simulation.pendingClaims.keySet());
		if (!ids.isEmpty()) {
			final boolean granted = random.nextBoolean();
			simulation.claim(ids.get(random.nextInt(ids.size())),
					granted ? ClaimVerdict.GRANTED : VERDICTS[random.nextInt(VERDICTS.length)], this.nextOffset++);
		}
	}

	private void changeTargets(TrafficSimulation simulation, Random random) {
		final List<TargetView> views = new ArrayList<>();
		for (int i = 0; i < 3; i++) {
			if (random.nextInt(4) > 0) {
				views.add(TrafficSimulation.model("g" + i + "@1", random.nextInt(3) > 0));
			}
			if (random.nextInt(4) > 0) {
				views.add(TrafficSimulation.service("s" + i, random.nextInt(3) > 0));
			}
		}
		simulation.targets(views.toArray(new TargetView[0]));
	}

}
