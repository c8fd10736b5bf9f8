package org.pistachioline.e2e;

import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

import org.pistachioline.standins.local.LocalDaemon;
import org.pistachioline.standins.local.LocalHttp;

import static org.assertj.core.api.Assertions.assertThat;

class PausedPlannerTests {

	// The daemon that plans the fabric domain is paused, as by a frozen host, and a
	// member
	// dies meanwhile. Another daemon takes over and forms a group from the spare
	// instances.
	// Then the first wakes with its old view: if its orders were still obeyed, a member
	// would
	// be torn out of the new group and its callers' answers cut.
	@Test
	@Tag("known-red")
	void aGroupIsFormedByAnotherDaemonAndThePausedPlannerHarmsNothingWhenItWakes() throws Exception {
		try (TestSystem system = new TestSystem(3, "")) {
			final LocalDaemon planner = planner(system);
			final LocalDaemon other = system.daemons()
				.stream()
				.filter((daemon) -> daemon != planner)
				.findFirst()
				.orElseThrow();
			final String lostMember = members(other.dump()).get(0);
			planner.process().signal("STOP");
			fault(system, lostMember, true);
			LocalHttp.await("a group without " + lostMember,
					() -> serves(other.dump()) && !members(other.dump()).contains(lostMember));
			planner.process().signal("CONT");
			fault(system, lostMember, false);
			LocalHttp.await("the woken daemon to see what the other sees",
					() -> planner.dump().path("fleet").path("next_offset").asLong() >= other.dump()
						.path("fleet")
						.path("next_offset")
						.asLong() && serves(planner.dump()));
			assertThat(members(other.dump())).doesNotHaveDuplicates();
			assertThat(CallerStream.open(planner, 20).readToEnd()).isEqualTo(CallerStream.whole(20) + "|[DONE]");
			assertThat(CallerStream.open(other, 20).readToEnd()).isEqualTo(CallerStream.whole(20) + "|[DONE]");
		}
	}

	private static LocalDaemon planner(TestSystem system) {
		final List<LocalDaemon> planners = new ArrayList<>();
		LocalHttp.await("a planner", () -> {
			final JsonNode dump = system.daemon(0).dump().path("fleet").path("planners");
			system.daemons()
				.stream()
				.filter((daemon) -> dump.toString().contains("\"" + daemon.id() + "#"))
				.forEach(planners::add);
			return !planners.isEmpty();
		});
		return planners.get(0);
	}

	private static void fault(TestSystem system, String instanceId, boolean down) {
		final int index = Integer.parseInt(instanceId.substring(instanceId.indexOf('-') + 1));
		LocalHttp.post(system.standIns().engines().get(index), "/faults",
				"{\"down\":" + down + ",\"paused\":false,\"slow_factor\":1}");
	}

	private static boolean serves(JsonNode dump) {
		for (final JsonNode group : dump.path("fleet").path("groups")) {
			if (group.path("missing_ranks").isEmpty() && !group.path("draining").asBoolean()) {
				return true;
			}
		}
		return false;
	}

	private static List<String> members(JsonNode dump) {
		final List<String> members = new ArrayList<>();
		for (final JsonNode group : dump.path("fleet").path("groups")) {
			group.path("members").forEach((member) -> members.add(member.asText()));
		}
		return members;
	}

}
