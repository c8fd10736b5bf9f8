package org.pistachioline.replay.fleet;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;

import org.junit.jupiter.api.Test;

import org.pistachioline.core.record.Member;
import org.pistachioline.core.state.GroupState;

import static org.assertj.core.api.Assertions.assertThat;

class FleetReplayTests {

	private static final long MINUTE = 60_000;

	private static Collection<GroupState> groups(FleetReplay fleet) {
		return fleet.state().groups().values();
	}

	private static List<GroupState> complete(FleetReplay fleet) {
		return groups(fleet).stream().filter((group) -> !group.draining() && fleet.isComplete(group)).toList();
	}

	private static Set<Long> epochs(FleetReplay fleet) {
		return groups(fleet).stream().map(GroupState::epoch).collect(Collectors.toSet());
	}

	private static Map<String, String> reasons(FleetReplay fleet) {
		final Map<String, String> reasons = new TreeMap<>();
		fleet.daemons().values().forEach((daemon) -> reasons.putAll(daemon.plan().freeReasons()));
		return reasons;
	}

	// Three planners start at the same moment before the same free instances. Each could
	// form
	// the model's groups; together they would take twice what was asked for.
	@Test
	void racingPlannersFormEachGroupOnceInsideOneFabricDomain() {
		final FleetReplay fleet = Fleets.of(Fleets.manifest(true, Fleets.model("large", 4, 5, 5)), 3, 6, 6);
		fleet.run(5 * MINUTE);
		assertThat(complete(fleet)).hasSize(5);
		assertThat(fleet.figures().formations()).isEqualTo(5);
		for (final GroupState group : groups(fleet)) {
			assertThat(group.members().stream().map(Member::fabricDomain).distinct()).hasSize(1);
		}
	}

	@Test
	void groupsGoWhereTheyLeaveTheFewestInstancesOver() {
		final FleetReplay fleet = Fleets
			.of(Fleets.manifest(true, Fleets.model("large", 4, 1, 1), Fleets.model("small", 2, 2, 2)), 1, 2, 4);
		fleet.run(3 * MINUTE);
		assertThat(complete(fleet)).hasSize(3);
		assertThat(
				groups(fleet).stream().filter((group) -> group.model().equals("small")).map(GroupState::fabricDomain))
			.containsOnly(groups(fleet).stream()
				.filter((group) -> group.model().equals("large"))
				.map(GroupState::fabricDomain)
				.findFirst()
				.map((domain) -> domain.equals("rack-0") ? "rack-1" : "rack-0")
				.orElseThrow());
	}

	// A member dies for good and the platform removes it. A free instance of the same
	// domain
	// takes its place; callers miss the group for about one load.
	@Test
	void aMemberThatIsGoneIsReplacedFromTheSameFabricDomain() {
		final FleetReplay fleet = Fleets.of(Fleets.manifest(true, Fleets.model("large", 4, 1, 1)), 2, 1, 5);
		fleet.run(2 * MINUTE);
		final String dead = complete(fleet).get(0).members().get(1).instanceId();
		Fleets.event(fleet, dead, InstanceEvent.Kind.DARK);
		Fleets.event(fleet, dead, InstanceEvent.Kind.GONE);
		fleet.run(MINUTE / 2);
		assertThat(complete(fleet)).hasSize(1);
		assertThat(fleet.state().groupIdsByInstance()).doesNotContainKey(dead);
	}

	// An engine restarts and is back within seconds. Giving its group up would cost a
	// whole
	// load for an absence of a few seconds.
	@Test
	void aShortAbsenceFormsNothingAnew() {
		final FleetReplay fleet = Fleets.of(Fleets.manifest(true, Fleets.model("large", 4, 2, 2)), 2, 2, 6);
		fleet.run(3 * MINUTE);
		final Set<Long> before = epochs(fleet);
		final String instance = complete(fleet).get(0).members().get(0).instanceId();
		Fleets.event(fleet, instance, InstanceEvent.Kind.DARK);
		fleet.run(15_000);
		assertThat(complete(fleet)).hasSize(1);
		Fleets.event(fleet, instance, InstanceEvent.Kind.BACK);
		fleet.run(1_000);
		assertThat(complete(fleet)).hasSize(2);
		assertThat(epochs(fleet)).isEqualTo(before);
	}

	// A rack's switch restarts: all of its instances are silent for a minute and a half.
	// Taken
	// one by one, all groups would be formed anew elsewhere, and the weight store would
	// be
	// flooded for machines that are back before the first load ends.
	@Test
	void aDarkFabricDomainIsOneEventAndFormsNothingAnew() {
		final FleetReplay fleet = Fleets.of(Fleets.manifest(true, Fleets.model("large", 4, 4, 4)), 2, 4, 8);
		fleet.run(5 * MINUTE);
		final Set<Long> before = epochs(fleet);
		final String domain = complete(fleet).get(0).fabricDomain();
		final List<String> instances = fleet.engines()
			.keySet()
			.stream()
			.filter((id) -> fleet.domainOf(id).equals(domain))
			.toList();
		instances.forEach((id) -> Fleets.event(fleet, id, InstanceEvent.Kind.DARK));
		fleet.run(MINUTE);
		final Set<String> dark = new TreeSet<>();
		fleet.daemons().values().forEach((daemon) -> dark.addAll(daemon.plan().unreachableDomains()));
		assertThat(dark).containsExactly(domain);
		fleet.run(MINUTE / 2);
		instances.forEach((id) -> Fleets.event(fleet, id, InstanceEvent.Kind.BACK));
		fleet.run(2_000);
		assertThat(epochs(fleet)).isEqualTo(before);
		assertThat(complete(fleet)).hasSize(4);
	}

	@Test
	void aFabricDomainThatStaysDarkIsMadeUpForElsewhere() {
		final FleetReplay fleet = Fleets.of(Fleets.manifest(true, Fleets.model("large", 4, 3, 3)), 2, 4, 8);
		fleet.run(5 * MINUTE);
		final String domain = complete(fleet).get(0).fabricDomain();
		fleet.engines()
			.keySet()
			.stream()
			.filter((id) -> fleet.domainOf(id).equals(domain))
			.forEach((id) -> Fleets.event(fleet, id, InstanceEvent.Kind.DARK));
		fleet.run(8 * MINUTE);
		assertThat(complete(fleet)).hasSize(3);
		assertThat(complete(fleet)).extracting(GroupState::fabricDomain).doesNotContain(domain);
	}

	// The platform flags an instance as leaving, late, shortly before it takes it away.
	// Its
	// group must get no new work at once, and what runs there must not be cut off.
	@Test
	void aGroupWithALeavingMemberIsDrainedAndFormedAnew() {
		final FleetReplay fleet = Fleets.of(Fleets.manifest(true, Fleets.model("large", 4, 1, 2)), 2, 2, 4);
		fleet.run(2 * MINUTE);
		final GroupState group = complete(fleet).get(0);
		Fleets.event(fleet, group.members().get(2).instanceId(), InstanceEvent.Kind.LEAVING);
		fleet.daemons().values().forEach((daemon) -> assertThat(daemon.serves(group)).isFalse());
		fleet.run(2_000);
		assertThat(fleet.state().groups().get(group.groupId()).draining()).isTrue();
		fleet.run(MINUTE);
		assertThat(complete(fleet)).hasSize(1);
		assertThat(fleet.state().groups()).doesNotContainKey(group.groupId());
	}

	// A storm multiplies the demand and ends again. Groups come within a minute and go
	// one by
	// one, late, as storms come in waves.
	@Test
	void replicasFollowDemandUpAtOnceAndDownSlowly() {
		final FleetReplay fleet = Fleets.of(Fleets.manifest(true, Fleets.model("large", 2, 1, 6)), 2, 4, 4);
		fleet.run(2 * MINUTE);
		assertThat(complete(fleet)).hasSize(1);
		fleet.demand("large", 30);
		fleet.run(MINUTE);
		assertThat(complete(fleet)).hasSize(5);
		fleet.demand("large", 1);
		fleet.run(2 * MINUTE);
		assertThat(complete(fleet)).hasSize(5);
		fleet.run(4 * MINUTE);
		assertThat(complete(fleet).size()).isBetween(3, 4);
		fleet.run(12 * MINUTE);
		assertThat(complete(fleet)).hasSize(1);
		assertThat(reasons(fleet)).hasSize(14).containsValue("no model of its pool needs another replica");
	}

	// Operators change how many instances a group has. Every group has to be formed anew;
	// all
	// at once, nobody would answer callers meanwhile.
	@Test
	void aChangedNumberOfMembersIsTakenOneGroupAtATime() {
		final FleetReplay fleet = Fleets.of(Fleets.manifest(true, Fleets.model("large", 2, 3, 3)), 2, 3, 3);
		fleet.run(2 * MINUTE);
		assertThat(complete(fleet)).hasSize(3);
		fleet.manifest(Fleets.manifest(true, Fleets.model("large", 3, 3, 3)));
		int least = 3;
		for (int i = 0; i < 240; i++) {
			fleet.run(2_000);
			least = Math.min(least, complete(fleet).size());
		}
		assertThat(complete(fleet)).hasSize(3).allMatch((group) -> group.members().size() == 3);
		assertThat(least).isGreaterThanOrEqualTo(1);
	}

	@Test
	void aModelThatIsNoLongerDeclaredIsDrainedThenDissolved() {
		final FleetReplay fleet = Fleets.of(Fleets.manifest(true, Fleets.model("large", 2, 2, 2)), 2, 2, 2);
		fleet.run(2 * MINUTE);
		fleet.manifest(Fleets.manifest(true));
		fleet.run(2_000);
		assertThat(groups(fleet)).hasSize(2).allMatch(GroupState::draining);
		fleet.run(MINUTE);
		assertThat(groups(fleet)).isEmpty();
	}

	// The weight store gives what it gives: sixteen loads at once would each take sixteen
	// times as long, and no group would serve for minutes.
	@Test
	void loadsBeginAtThePaceOfTheWeightStore() {
		final FleetReplay fleet = Fleets.of(Fleets.manifest(true, Fleets.model("huge", 60, 8, 8)), 2, 8, 60);
		fleet.run(MINUTE / 2);
		assertThat(groups(fleet)).hasSize(4);
		fleet.run(MINUTE);
		assertThat(groups(fleet)).hasSize(8);
	}

	// A planner's process is killed. Its domains have a new planner after the others miss
	// its
	// heartbeats, and the loss of a member there is mended by that one.
	@Test
	void aDeadPlannersDomainsAreTakenOver() {
		final FleetReplay fleet = Fleets.of(Fleets.manifest(false, Fleets.model("large", 4, 2, 2)), 3, 2, 6);
		fleet.run(3 * MINUTE);
		final GroupState group = complete(fleet).get(0);
		final String planner = fleet.state().planners().get(group.fabricDomain()).writer();
		fleet.daemons().get(planner.substring(0, planner.indexOf('#'))).pause();
		final String dead = group.members().get(3).instanceId();
		Fleets.event(fleet, dead, InstanceEvent.Kind.DARK);
		Fleets.event(fleet, dead, InstanceEvent.Kind.GONE);
		fleet.run(2 * MINUTE);
		assertThat(complete(fleet)).hasSize(2);
	}

	// A busy model was lent the instances of another that lacked a member. When the
	// member is
	// back, the model below its least number gets them back.
	@Test
	void aModelBelowItsLeastNumberGetsRoomFromOneAboveIt() {
		final FleetReplay fleet = Fleets
			.of(Fleets.manifest(true, Fleets.model("desk", 4, 0, 1), Fleets.model("copy", 2, 1, 4)), 2, 1, 8);
		fleet.demand("copy", 100);
		fleet.run(5 * MINUTE);
		assertThat(complete(fleet)).hasSize(4).allMatch((group) -> group.model().equals("copy"));
		fleet.manifest(Fleets.manifest(true, Fleets.model("desk", 4, 1, 1), Fleets.model("copy", 2, 1, 4)));
		// With equal weights 32 accelerators that drain for a load of 20 s, taken for a
		// minute
		// until it was seen, weigh as much as 35 minutes of one missing group: it waits
		// for
		// the longest time.
		fleet.run(20 * MINUTE);
		assertThat(complete(fleet)).hasSize(4).allMatch((group) -> group.model().equals("copy"));
		fleet.run(15 * MINUTE);
		assertThat(complete(fleet).stream().map(GroupState::model)).containsExactlyInAnyOrder("desk", "copy", "copy");
	}

}
