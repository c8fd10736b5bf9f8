package org.pistachioline.core.traffic;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

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

	// Targets die, drain, vanish and come back, answers are late, doubled or foreign,
	// claims land after their request ended, callers hang up, all at any moment. A user
	// would notice a booking that ran after a refusal, a doubled token, or an answer that
	// never comes. The history checks each step; here all must have ended in the end.
	@Property(seed = "7201", tries = 400, shrinking = ShrinkingMode.OFF)
	void whateverHappensEachRequestEndsOnceAndTruthfully(@ForAll long seed) {
		final Random random = new Random(seed);
		final TrafficSimulation history = new TrafficSimulation(new LogBasedQuarantine());
		views(history, random);
		for (int step = 0; step < STEPS; step++) {
			step(history, random);
		}
		history.nowNanos += 500_000_000_000L;
		history.advance(1);
		for (final long requestId : List.copyOf(history.pendingClaims.keySet())) {
			history.claim(requestId, ClaimVerdict.GRANTED, this.nextOffset++);
		}
		assertThat(history.requests.values()).allMatch((request) -> request.ended);
		assertThat(history.core.activeRequestCount()).isZero();
		assertThat(history.core.queuedRequestCount()).isZero();
		assertThat(history.heldClaims.keySet())
			.allMatch((requestId) -> history.requests.get(requestId).possibleRuns > 0);
	}

	/**
	 * Guards against the same with the policies of a daemon that relays by routes: a
	 * booking that is sent twice or ran after a refusal, a request that is sent though it
	 * is barred, and one that never ends.
	 */
	@Property(seed = "7202", tries = 400, shrinking = ShrinkingMode.OFF)
	void whateverHappensEachRelayedRequestEndsOnceAndTruthfully(@ForAll long seed) {
		final Random random = new Random(seed);
		final TrafficSimulation history = new TrafficSimulation(RoutingPolicies.create("a", seed,
				new RetryBudget(0.2, 100, 10_000_000_000L), () -> 2, new GossipQuarantine()));
		views(history, random);
		for (int step = 0; step < STEPS; step++) {
			relayedStep(history, random);
		}
		history.nowNanos += 500_000_000_000L;
		history.advance(1);
		assertThat(history.requests.values()).allMatch((request) -> request.ended);
		assertThat(history.core.activeRequestCount()).isZero();
		assertThat(history.core.queuedRequestCount()).isZero();
	}

	private void relayedStep(TrafficSimulation history, Random random) {
		switch (random.nextInt(12)) {
			case 0, 1,
					2 ->
				history.arriveUnclaimed(this.nextRequestId++,
						random.nextBoolean() ? TargetKind.MODEL : TargetKind.SERVICE, "f" + random.nextInt(12),
						random.nextInt(3) > 0);
			case 3, 4 -> answer(history, random);
			case 5 -> history.advance(random.nextInt(4_000));
			case 6 -> views(history, random);
			case 7 -> told(history, random);
			case 8 -> history.apply(history.core.onCallerDisconnected(history.nowNanos, 1 + random.nextLong(10)));
			case 9 -> late(history, random);
			case 10 -> crash(history, random);
			default -> ended(history, random);
		}
	}

	private static void crash(TrafficSimulation history, Random random) {
		final String targetId = random.nextBoolean() ? "g" + random.nextInt(3) + "@1" : "s" + random.nextInt(3);
		final Set<String> ran = history.liveAttempts.values()
			.stream()
			.filter((attempt) -> attempt.targetId.equals(targetId))
			.map((attempt) -> attempt.request.info.fingerprint())
			.collect(Collectors.toSet());
		history.crashTarget(targetId);
		history.core.targetCrashes()
			.onCrash(history.nowNanos, new TargetCrash(targetId + "-" + history.nowNanos, ran, Set.of()));
		history.advance(1);
	}

	private static void told(TrafficSimulation history, Random random) {
		final CrashEvidence death = new CrashEvidence("elsewhere-" + random.nextInt(20), history.nowNanos,
				random.nextBoolean() ? CrashPhase.STARTING : CrashPhase.IN_PROGRESS, random.nextInt(4) == 0);
		history.core.targetCrashes()
			.onPeerReports(history.nowNanos, List.of(new SuspectedRequest("f" + random.nextInt(12), List.of(death))));
		history.advance(1);
	}

	private void step(TrafficSimulation history, Random random) {
		switch (random.nextInt(12)) {
			case 0, 1, 2 -> arrive(history, random);
			case 3, 4 -> answer(history, random);
			case 5 -> history.advance(random.nextInt(4_000));
			case 6 -> views(history, random);
			case 7 -> claim(history, random);
			case 8 -> history.apply(history.core.onCallerDisconnected(history.nowNanos, 1 + random.nextLong(10)));
			case 9 -> late(history, random);
			case 10 -> history.crashTarget("g" + random.nextInt(3) + "@1");
			default -> ended(history, random);
		}
	}

	private void arrive(TrafficSimulation history, Random random) {
		final boolean keyed = random.nextInt(3) == 0;
		final TargetKind kind = (keyed || random.nextInt(4) == 0) ? TargetKind.SERVICE : TargetKind.MODEL;
		final String fingerprint = (kind == TargetKind.MODEL) ? "f" + random.nextInt(8) : "";
		history.arrive(this.nextRequestId++, kind, fingerprint, keyed);
	}

	private void answer(TrafficSimulation history, Random random) {
		final List<AttemptId> ids = new ArrayList<>(history.liveAttempts.keySet());
		if (!ids.isEmpty()) {
			history.progress(ids.get(random.nextInt(ids.size())), 1 + random.nextInt(20));
		}
	}

	private void ended(TrafficSimulation history, Random random) {
		final List<AttemptId> ids = new ArrayList<>(history.liveAttempts.keySet());
		if (ids.isEmpty()) {
			return;
		}
		final AttemptId id = ids.get(random.nextInt(ids.size()));
		final AttemptOutcome[] ends = AttemptOutcome.values();
		final TrafficSimulation.Attempt attempt = history.liveAttempts.get(id);
		AttemptOutcome how = ends[random.nextInt(ends.length)];
		if (attempt.cancelled && how != AttemptOutcome.COMPLETE) {
			how = AttemptOutcome.CANCELLED;
		}
		else if (how == AttemptOutcome.NOT_CONNECTED && attempt.request.deliveredTokens > 0) {
			how = AttemptOutcome.BROKEN;
		}
		else if (how == AttemptOutcome.WITHHELD && attempt.request.deliveredTokens > attempt.deliveredTokensAtStart) {
			how = AttemptOutcome.BROKEN;
		}
		history.end(id, how);
	}

	private void late(TrafficSimulation history, Random random) {
		final AttemptId stranger = history.endedAttempts.isEmpty() ? new AttemptId(99_999, 1)
				: history.endedAttempts.get(random.nextInt(history.endedAttempts.size()));
		history.core.onProgress(history.nowNanos, stranger, 1_000);
		history.apply(history.core.onAttemptEnd(history.nowNanos, stranger, AttemptOutcome.COMPLETE, 1_000));
		history.apply(history.core.onClaim(history.nowNanos, stranger.requestId(), ClaimVerdict.SETTLED, -1));
	}

	private void claim(TrafficSimulation history, Random random) {
		final List<Long> ids = new ArrayList<>(history.pendingClaims.keySet());
		if (!ids.isEmpty()) {
			final boolean granted = random.nextBoolean();
			history.claim(ids.get(random.nextInt(ids.size())),
					granted ? ClaimVerdict.GRANTED : VERDICTS[random.nextInt(VERDICTS.length)], this.nextOffset++);
		}
	}

	private void views(TrafficSimulation history, Random random) {
		final List<TargetView> views = new ArrayList<>();
		for (int i = 0; i < 3; i++) {
			if (random.nextInt(4) > 0) {
				views.add(TrafficSimulation.model("g" + i + "@1", random.nextInt(3) > 0));
			}
			if (random.nextInt(4) > 0) {
				views.add(TrafficSimulation.service("s" + i, random.nextInt(3) > 0));
			}
		}
		history.targets(views.toArray(new TargetView[0]));
	}

}
