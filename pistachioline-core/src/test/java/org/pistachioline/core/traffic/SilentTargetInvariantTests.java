package org.pistachioline.core.traffic;

import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;

import org.pistachioline.core.manifest.Manifest;

import static org.assertj.core.api.Assertions.assertThat;

class SilentTargetInvariantTests {

	// Guards against a daemon that breaks streams off by its own decisions. Targets are
	// silent in turn, decline, refuse connections, leave the list and return, and the
	// configuration changes; none crashes, and one target of each stream stays listed.
	@Property(seed = "7301", tries = 200, shrinking = ShrinkingMode.OFF)
	void noStreamIsBrokenOffBeforeItsDeadlineWhileNoTargetCrashes(@ForAll long seed, @ForAll boolean fleetDecisions) {
		final Random random = new Random(seed);
		final TrafficSimulation world = SilentTargetTests.simulation(fleetDecisions, 100);
		listTargets(world, random);
		for (int step = 0; step < 400; step++) {
			step(world, random, step);
			assertThat(world.requests.values()).noneMatch((request) -> isBrokenOff(world, request));
		}
		assertThatBegunStreamsGoOnOnceTargetsAreFree(world);
	}

	private static void assertThatBegunStreamsGoOnOnceTargetsAreFree(TrafficSimulation world) {
		world.targets(IntStream.range(0, 9)
			.mapToObj((index) -> TrafficSimulation.model("t" + index, true))
			.toArray(TargetView[]::new));
		List.copyOf(world.liveAttempts.keySet()).forEach((attempt) -> {
			if (world.liveAttempts.containsKey(attempt)) {
				world.end(attempt,
						world.liveAttempts.get(attempt).cancelled ? AttemptOutcome.CANCELLED : AttemptOutcome.COMPLETE);
			}
		});
		SilentTargetTests.tick(world, 2_500);
		assertThat(world.requests.values()).filteredOn((request) -> request.deliveredTokens > 0)
			.allMatch((request) -> request.ended || request.liveAttempt != null);
	}

	private static boolean isBrokenOff(TrafficSimulation world, TrafficSimulation.Request request) {
		return request.deliveredTokens > 0 && request.finalAction instanceof TrafficAction.Fail
				&& world.nowNanos < request.info.totalDeadlineNanos();
	}

	private static void step(TrafficSimulation world, Random random, int step) {
		final List<AttemptId> live = List.copyOf(world.liveAttempts.keySet());
		final AttemptId attempt = live.isEmpty() ? null : live.get(random.nextInt(live.size()));
		switch (random.nextInt(9)) {
			case 0 -> SilentTargetTests.arrive(world, step + 1);
			case 1 -> listTargets(world, random);
			case 2 -> world.apply(world.core.onManifest(world.nowNanos, Manifest.EMPTY));
			case 3, 4 -> end(world, random, attempt);
			case 5 -> {
				if (attempt != null && !world.liveAttempts.get(attempt).cancelled) {
					world.progress(attempt, 1);
				}
			}
			default -> SilentTargetTests.tick(world, 50 + random.nextInt(300));
		}
	}

	private static void end(TrafficSimulation world, Random random, AttemptId attempt) {
		if (attempt == null) {
			return;
		}
		final TrafficSimulation.Attempt ending = world.liveAttempts.get(attempt);
		if (ending.cancelled) {
			world.end(attempt, AttemptOutcome.CANCELLED);
		}
		else if (ending.request.deliveredTokens == ending.deliveredTokensAtStart) {
			world.end(attempt, random.nextBoolean() ? AttemptOutcome.DECLINED : AttemptOutcome.NOT_CONNECTED);
		}
		else if (random.nextInt(4) == 0) {
			world.end(attempt, AttemptOutcome.COMPLETE);
		}
	}

	// The first two targets stay listed, so that each stream, which may be sent to two
	// targets, keeps one that serves.
	private static void listTargets(TrafficSimulation world, Random random) {
		final int count = 2 + random.nextInt(2);
		world.targets(IntStream.range(0, count)
			.mapToObj((index) -> TrafficSimulation.model("t" + index, true))
			.toArray(TargetView[]::new));
	}

}
