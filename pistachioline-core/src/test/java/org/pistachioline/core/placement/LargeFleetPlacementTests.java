package org.pistachioline.core.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.pistachioline.core.traffic.AttemptOutcome;
import org.pistachioline.core.traffic.ClaimRequirement;
import org.pistachioline.core.traffic.RequestInfo;
import org.pistachioline.core.traffic.TargetKind;
import org.pistachioline.core.traffic.TargetView;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * More daemons than a target has slots, so that most have no part of it.
 */
class LargeFleetPlacementTests {

	private static final long NOW_NANOS = 100_000_000_000L;

	private static final int DAEMONS = 95;

	private final List<DaemonTargets> daemons = new ArrayList<>();

	/**
	 * A plain service of five instances takes bookings from 95 daemons. Its thirty slots
	 * are idle. A daemon that has no part of them keeps its callers until they are
	 * refused, beside instances that do nothing.
	 */
	@Test
	void everyDaemonReachesAnIdleService() {
		fill(5, 6, 0);
		assertThat(this.daemons).allMatch((daemon) -> daemon.set.freeSlots() > 0 && daemon.start().isPresent());
	}

	/**
	 * All daemons have more callers than the groups have slots. What they send beyond the
	 * slots waits in the engines, out of reach of any fairness.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 20, 60, 142 })
	void aFleetThatIsOverrunFillsTheSlotsByAnEighthTooManyAtMost(int groups) {
		fill(groups, 10, 0);
		int sent = 0;
		for (final DaemonTargets daemon : this.daemons) {
			while (daemon.set.freeSlots() > 0 && daemon.start().isPresent()) {
				sent++;
			}
		}
		assertThat(sent).isBetween(groups * 10, groups * 10 + Math.max(DAEMONS, groups * 10 / 8 + DAEMONS / 2));
	}

	/**
	 * The instances have just said that they are full. Another attempt would wait there.
	 */
	@Test
	void nothingGoesBeyondTheSlotsOfTargetsThatSaidTheyAreFull() {
		fill(5, 6, 6);
		final long withoutPart = this.daemons.stream().filter((daemon) -> daemon.set.freeSlots() == 0).count();
		assertThat(withoutPart).isEqualTo(DAEMONS - 5 * 6);
	}

	/**
	 * An instance refuses the attempt. The next one must go elsewhere, and not again to
	 * where it was refused.
	 */
	@Test
	void aTargetThatRefusedIsLeftAlone() {
		fill(5, 6, 0);
		final DaemonTargets daemon = this.daemons.stream()
			.filter((each) -> each.partsUsed() == 0)
			.findFirst()
			.orElseThrow();
		final TargetLoad refusing = daemon.start().orElseThrow();
		refusing.onEnd(NOW_NANOS, 100, AttemptOutcome.DECLINED);
		daemon.set.refresh(NOW_NANOS, daemon.rank, refusing);
		for (int i = 0; i < 20; i++) {
			assertThat(daemon.choose()).isPresent().get().isNotSameAs(refusing);
		}
	}

	private void fill(int targets, int slots, int running) {
		for (int rank = 0; rank < DAEMONS; rank++) {
			final DaemonTargets daemon = new DaemonTargets(new DaemonRank(rank, DAEMONS), rank);
			final List<TargetLoad> loads = new ArrayList<>();
			for (int i = 0; i < targets; i++) {
				loads.add(new TargetLoad(new TargetView("i-" + i + "@0", TargetKind.SERVICE, "desk", "10.0.0.1:" + i, 0,
						"zone", true, slots, running, 0, (running > 0) ? NOW_NANOS : 0), NOW_NANOS));
			}
			daemon.set.replace(NOW_NANOS, loads, daemon.rank);
			this.daemons.add(daemon);
		}
	}

	private static final class DaemonTargets {

		private final DaemonRank rank;

		private final TargetSet set = new TargetSet(true);

		private final ExpectedWaitPlacement placement;

		DaemonTargets(DaemonRank rank, long seed) {
			this.rank = rank;
			this.placement = new ExpectedWaitPlacement("zone", seed, true);
		}

		int partsUsed() {
			return this.set.members()
				.stream()
				.mapToInt((load) -> this.rank.equalShare(load.view().slots(), load.view().targetId()))
				.sum();
		}

		Optional<TargetLoad> choose() {
			final RequestInfo info = new RequestInfo(1, "shop", TargetKind.SERVICE, "desk", 0, 0, 0,
					NOW_NANOS + 1_000_000_000L, NOW_NANOS + 1_000_000_000L, false, ClaimRequirement.NONE, "", List.of(),
					1, NOW_NANOS + 1_000_000_000L);
			return this.placement.choose(NOW_NANOS, info, this.set, Set.of());
		}

		Optional<TargetLoad> start() {
			final Optional<TargetLoad> chosen = choose();
			chosen.ifPresent((load) -> {
				load.onStart(NOW_NANOS, 100);
				this.set.refresh(NOW_NANOS, this.rank, load);
			});
			return chosen;
		}

	}

}
