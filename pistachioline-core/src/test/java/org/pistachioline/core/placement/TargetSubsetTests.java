package org.pistachioline.core.placement;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.junit.jupiter.api.Test;

import org.pistachioline.core.traffic.TargetKind;
import org.pistachioline.core.traffic.TargetView;

import static org.assertj.core.api.Assertions.assertThat;

class TargetSubsetTests {

	private static final int DAEMONS = 130;

	private static final String ZONE = "zone";

	/** Guards against connections that are all opened anew when a group fails. */
	@Test
	void aTargetThatLeavesChangesOnlyItsOwnSubsets() {
		int moved = 0;
		for (int daemon = 0; daemon < DAEMONS; daemon++) {
			final Set<String> before = subset(daemon, targets(40, ""), DAEMONS);
			final Set<String> after = subset(daemon, targets(40, "group-5"), DAEMONS);
			final Set<String> lost = new HashSet<>(before);
			lost.removeAll(after);
			assertThat(lost).isSubsetOf("group-5");
			moved += lost.size();
		}
		assertThat(moved).isBetween(1, 2 * DAEMONS * 4 / 40);
	}

	/**
	 * Guards against connections that are all opened anew when a daemon joins or leaves.
	 */
	@Test
	void aDaemonThatJoinsOrLeavesMovesNoTarget() {
		for (int daemon = 0; daemon < DAEMONS; daemon++) {
			final Set<String> all = subset(daemon, targets(40, ""), DAEMONS);
			assertThat(subset(daemon, targets(40, ""), DAEMONS - 1)).isEqualTo(all);
			assertThat(subset(daemon, targets(40, ""), DAEMONS + 5)).isEqualTo(all);
		}
	}

	/**
	 * Guards against a group that is formed anew and loses its place and its connections.
	 */
	@Test
	void aGroupKeepsItsPlaceWithANewEpoch() {
		final TargetSubset subset = new TargetSubset(ZONE, 1);
		subset.update(List.of(target("a@1", ZONE, 10), target("b@1", ZONE, 10), target("c@1", ZONE, 10)),
				DaemonRank.ALONE);
		final List<String> before = instances(subset);
		subset.update(List.of(target("a@2", ZONE, 10), target("b@1", ZONE, 10), target("c@3", ZONE, 10)),
				DaemonRank.ALONE);
		assertThat(instances(subset)).isEqualTo(before);
	}

	/**
	 * Guards against targets that no daemon prefers, and large ones that are preferred
	 * like small ones.
	 */
	@Test
	void allSubsetsTogetherUseTargetsByTheirSlots() {
		final Map<String, Integer> uses = new TreeMap<>();
		final int daemons = 2_000;
		for (int daemon = 0; daemon < daemons; daemon++) {
			final List<TargetLoad> targets = new ArrayList<>(targets(30, ""));
			targets.add(target("double", ZONE, 68));
			subset(daemon, targets, daemons).forEach((id) -> uses.merge(id, 1, Integer::sum));
		}
		final double single = uses.entrySet()
			.stream()
			.filter((entry) -> !entry.getKey().equals("double"))
			.mapToInt(Map.Entry::getValue)
			.average()
			.orElseThrow();
		assertThat(uses).hasSize(31);
		assertThat(uses.get("double") / single).isBetween(1.6, 2.2);
	}

	/** Guards against a small fleet whose subsets leave targets unused. */
	@Test
	void fewDaemonsUseAllTargets() {
		assertThat(subset(1, targets(40, ""), 3)).hasSize(40);
	}

	@Test
	void targetsOfTheOwnZoneComeFirst() {
		final TargetSubset subset = new TargetSubset(ZONE, 1);
		subset.update(List.of(target("far-1", "other", 100), target("near-1", ZONE, 1), target("far-2", "other", 100),
				target("near-2", ZONE, 1)), new DaemonRank(0, DAEMONS));
		assertThat(instances(subset)).hasSize(4);
		assertThat(subset.nearSize()).isEqualTo(2);
		assertThat(subset.ranked().subList(0, 2)).allMatch(subset::isNear);
	}

	/**
	 * Guards against daemons that together hold shares of far more slots than there are.
	 */
	@Test
	void theSharesOfAllDaemonsAddUpToTheSlots() {
		int shares = 0;
		for (int daemon = 0; daemon < DAEMONS; daemon++) {
			final TargetSubset subset = new TargetSubset(ZONE, daemon);
			final List<TargetLoad> targets = targets(18, "");
			subset.update(targets, new DaemonRank(daemon, DAEMONS));
			shares += targets.stream().mapToInt(subset::share).sum();
		}
		assertThat(shares).isEqualTo(18 * 34);
	}

	private static Set<String> subset(long key, List<TargetLoad> targets, int daemons) {
		final TargetSubset subset = new TargetSubset(ZONE, key);
		subset.update(targets, new DaemonRank(0, daemons));
		return new HashSet<>(instances(subset).subList(0, subset.size()));
	}

	private static List<String> instances(TargetSubset subset) {
		return subset.ranked().stream().map((load) -> load.view().instanceId()).toList();
	}

	private static List<TargetLoad> targets(int count, String without) {
		final List<TargetLoad> targets = new ArrayList<>();
		for (int i = 0; i < count; i++) {
			if (!without.equals("group-" + i)) {
				targets.add(target("group-" + i + "@0", ZONE, 34));
			}
		}
		return targets;
	}

	private static TargetLoad target(String id, String zone, int slots) {
		return new TargetLoad(new TargetView(id, TargetKind.MODEL, "model", id, 0, zone, true, slots, 0, 0, 0), 0);
	}

}
