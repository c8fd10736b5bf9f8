package org.pistachioline.daemon.agreed;

import java.util.List;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

import org.pistachioline.adapters.codec.ConfigSnapshotCodec;
import org.pistachioline.adapters.codec.FleetSnapshotCodec;
import org.pistachioline.core.manifest.Manifest;
import org.pistachioline.core.record.GroupDissolution;
import org.pistachioline.core.record.GroupFormation;
import org.pistachioline.core.record.ManifestProposal;
import org.pistachioline.core.record.Member;
import org.pistachioline.core.record.PlannerClaim;
import org.pistachioline.core.record.RecordBody;
import org.pistachioline.core.state.ConfigReducer;
import org.pistachioline.core.state.ConfigState;
import org.pistachioline.core.state.FleetReducer;
import org.pistachioline.core.state.FleetState;
import org.pistachioline.core.state.GroupState;
import org.pistachioline.core.state.PlannerEpoch;

import static org.assertj.core.api.Assertions.assertThat;

class AgreedStateTests {

	private static final String DOMAIN = "domain";

	private static final int INSTANCES = 7;

	private static RecordBody configBody(ConfigState state, int choice) {
		// Some operators publish on top of an outdated base version.
		return new ManifestProposal(Math.max(0, state.version() - choice % 3), Manifest.EMPTY);
	}

	private static RecordBody fleetBody(FleetState state, int choice) {
		final PlannerEpoch planner = state.planners().get(DOMAIN);
		if (planner == null || choice % 6 == 0) {
			return new PlannerClaim(DOMAIN, (planner != null) ? planner.epoch() : PlannerClaim.NO_EPOCH);
		}
		if (choice % 6 == 1 && !state.groups().isEmpty()) {
			final GroupState group = state.groups().values().iterator().next();
			return new GroupDissolution(group.groupId(), group.epoch(), planner.epoch(), "test");
		}
		return new GroupFormation("g-" + choice, "model", planner.epoch(), List.of(member(choice), member(choice / 5)),
				1);
	}

	private static Member member(int choice) {
		return new Member("i-" + choice % INSTANCES, DOMAIN, "10.0.0.1:80", "zone-a", 1);
	}

	// Guards against a configuration that reverts or differs between daemons. Operators
	// race while responses are lost, appends are delayed, duplicated or lost, records
	// expire and daemons are replaced.
	@Property(seed = "20261205", tries = 150)
	void configurationNeverRevertsAndAllDaemonsAgree(
			@ForAll @Size(min = 40, max = 240) List<@IntRange(max = 1_000_000) Integer> steps) {
		final InterleavingSimulation<ConfigState> simulation = new InterleavingSimulation<>(new ConfigReducer(),
				new ConfigSnapshotCodec(), AgreedStateTests::configBody);
		steps.forEach(simulation::step);
		simulation.converge();
		long version = 0;
		for (final ConfigState state : simulation.history()) {
			assertThat(state.version()).isBetween(version, version + 1);
			version = state.version();
		}
	}

	// Guards against an instance in two groups when planners race under the same faults:
	// it would get the orders of both, and both groups would serve callers with half a
	// model.
	@Property(seed = "20261206", tries = 150)
	void noInstanceIsEverInTwoGroupsAndAllDaemonsAgree(
			@ForAll @Size(min = 40, max = 240) List<@IntRange(max = 1_000_000) Integer> steps) {
		final InterleavingSimulation<FleetState> simulation = new InterleavingSimulation<>(new FleetReducer(),
				new FleetSnapshotCodec(), AgreedStateTests::fleetBody);
		steps.forEach(simulation::step);
		simulation.converge();
		for (final FleetState state : simulation.history()) {
			final List<String> members = state.groups()
				.values()
				.stream()
				.flatMap((group) -> group.members().stream())
				.map(Member::instanceId)
				.toList();
			assertThat(members).doesNotHaveDuplicates();
			assertThat(state.groupIdsByInstance().keySet()).containsExactlyInAnyOrderElementsOf(members);
		}
	}

}
