package org.pistachioline.bench.control;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;

import org.pistachioline.bench.Benchmark;
import org.pistachioline.bench.Figures;
import org.pistachioline.standins.local.LocalDaemon;
import org.pistachioline.standins.local.LocalHttp;

/**
 * Measures the time from a member's death until no daemon serves its group, and until as
 * many groups serve again from spare instances.
 */
public final class MemberLossBenchmark implements Benchmark {

	private static final int DAEMONS = 3;

	private static final int REPLICAS = 2;

	private static final int LOSSES = 3;

	@Override
	public String name() {
		return "memberloss";
	}

	@Override
	public void run(Figures figures) {
		try (ControlSystem system = new ControlSystem(DAEMONS, REPLICAS, LOSSES, 1)) {
			for (int loss = 0; loss < LOSSES; loss++) {
				lose(figures, system, loss);
			}
		}
	}

	private static void lose(Figures figures, ControlSystem system, int loss) {
		final String lost = members(system.daemons().get(0).dump()).get(0);
		final int index = Integer.parseInt(lost.substring(lost.indexOf('-') + 1));
		LocalHttp.post(system.standIns().engines().get(index), "/faults",
				"{\"down\":true,\"paused\":false,\"slow_factor\":1}");
		final long lostAtNanos = System.nanoTime();
		for (final LocalDaemon daemon : system.daemons()) {
			LocalHttp.await("no work for the group of " + lost, () -> !members(daemon.dump()).contains(lost));
		}
		figures.print("no new work for the group of a lost member, loss " + loss, millisSince(lostAtNanos), "ms");
		system.daemons().forEach((daemon) -> daemon.awaitServing(REPLICAS));
		figures.print("as many groups serve again, loss " + loss, millisSince(lostAtNanos), "ms");
	}

	private static double millisSince(long nanos) {
		return (System.nanoTime() - nanos) / (double) TimeUnit.MILLISECONDS.toNanos(1);
	}

	private static List<String> members(JsonNode dump) {
		final List<String> members = new ArrayList<>();
		for (final JsonNode group : dump.path("fleet").path("groups")) {
			if (group.path("missing_ranks").isEmpty()) {
				group.path("members").forEach((member) -> members.add(member.asText()));
			}
		}
		return members;
	}

}
