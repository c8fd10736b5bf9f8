package org.pistachioline.core.admission;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiFunction;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.pistachioline.core.traffic.ClaimRequirement;
import org.pistachioline.core.traffic.RequestInfo;
import org.pistachioline.core.traffic.TargetKind;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the admission of whole fleets in virtual time: three kinds of request compete for
 * targets, and their demand is 0.8 to 3 times the room, or that of one kind is high by
 * turns. The refused come back once, a fifth of them at once. The system property
 * {@code admission.seeds} sets the number of seeds.
 */
class FleetAdmissionTests {

	private static final int SEEDS = Integer.getInteger("admission.seeds", 12);

	private static final double MIN_CREDIT_RATIO = 0.9;

	private static final double MIN_SERVED_AT_TRIPLE_LOAD_RATIO = 0.95;

	private static final double MAX_RANK_LOSS = 0.15;

	private static final double MIN_SERVED_RATIO = 0.5;

	private static final double CALM_LOAD = 0.8;

	private static final double TURN_SECONDS = 2;

	private static final double BURST_SECONDS = 0.7;

	private static final double AFTER_BURST_LOAD = 0.4;

	private static final double MIN_RETURNS_SERVED_RATIO = 0.8;

	private static final int TENTHS = 10;

	private static final int REFUSED = 2_000;

	private static final long RESPECTED_MILLIS = 2_000;

	private static final long MAX_REFUSAL_WAIT_NANOS = 750_000_000L;

	private static final Map<String, FleetRuns> RUNS = new HashMap<>();

	private static FleetRuns runs(int daemons, double load) {
		return runs(daemons, String.valueOf(load), (kind, second) -> load);
	}

	private static FleetRuns runsByTurns(int daemons) {
		return runs(daemons, "by turns", (kind, second) -> {
			final boolean high = (int) (second / TURN_SECONDS) % 2 == 1;
			return (high && kind.priority() == 9) ? 3 : CALM_LOAD;
		});
	}

	private static FleetRuns runs(int daemons, String name, BiFunction<FleetKind, Double, Double> load) {
		return RUNS.computeIfAbsent(daemons + " daemons, " + name, (key) -> FleetRuns.of(daemons, SEEDS, load));
	}

	private static List<FleetRuns> allLoads(int daemons) {
		return List.of(runs(daemons, CALM_LOAD), runs(daemons, 1.2), runs(daemons, 3), runsByTurns(daemons));
	}

	@ParameterizedTest
	@ValueSource(ints = { 18, 78, 130 })
	void manyDaemonsEarnNineTenthsOfWhatOneThatSeesAllEarns(int daemons) {
		final List<FleetRuns> alone = allLoads(1);
		final List<FleetRuns> together = allLoads(daemons);
		for (int index = 0; index < alone.size(); index++) {
			assertThat(together.get(index).credit())
				.isGreaterThanOrEqualTo(MIN_CREDIT_RATIO * alone.get(index).credit());
		}
	}

	@ParameterizedTest
	@ValueSource(ints = { 1, 18, 78, 130 })
	void moreDemandDoesNotLowerWhatIsServedOnTime(int daemons) {
		assertThat((double) runs(daemons, 3).servedOnTime())
			.isGreaterThanOrEqualTo(MIN_SERVED_AT_TRIPLE_LOAD_RATIO * runs(daemons, 1.2).servedOnTime());
	}

	@ParameterizedTest
	@ValueSource(ints = { 1, 18, 78, 130 })
	void anUrgentKindDoesNotPayForLessUrgentOnes(int daemons) {
		for (final FleetRuns runs : allLoads(daemons)) {
			final List<Double> ratios = FleetSimulation.KINDS.stream().map(runs::creditRatio).toList();
			for (int index = 1; index < ratios.size(); index++) {
				assertThat(ratios.get(index - 1)).isGreaterThan(ratios.get(index) - MAX_RANK_LOSS);
			}
		}
	}

	@ParameterizedTest
	@ValueSource(ints = { 1, 18, 78, 130 })
	void noWorkspaceAndNoSizeIsServedLessThanHalfAsOftenAsTheRest(int daemons) {
		final FleetKind urgent = FleetSimulation.KINDS.get(0);
		for (final FleetRuns runs : allLoads(daemons)) {
			assertThat(runs.servedByWorkspace(urgent)).allMatch((ratio) -> ratio >= MIN_SERVED_RATIO);
			assertThat(runs.servedBySize(urgent)).allMatch((ratio) -> ratio >= MIN_SERVED_RATIO);
		}
	}

	/**
	 * A caller's time to stay is 2 s here; a refusal must leave it most of that.
	 */
	@ParameterizedTest
	@ValueSource(ints = { 1, 18, 78, 130 })
	void noRefusalWaitsForADeadline(int daemons) {
		for (final FleetRuns runs : allLoads(daemons)) {
			assertThat(runs.longestRefusalWaitNanos()).isLessThanOrEqualTo(MAX_REFUSAL_WAIT_NANOS);
		}
	}

	@ParameterizedTest
	@ValueSource(ints = { 1, 18, 78, 130 })
	void thoseWhoAreRefusedInABurstFindRoomWhenTheyComeBack(int daemons) {
		final double start = FleetSimulation.WARM_UP_SECONDS;
		final FleetRuns runs = runs(daemons, "burst", (kind, second) -> {
			if (second < start) {
				return CALM_LOAD;
			}
			return (second < start + BURST_SECONDS) ? 2.0 : AFTER_BURST_LOAD;
		});
		assertThat(runs.returnsServedRatio()).isGreaterThanOrEqualTo(MIN_RETURNS_SERVED_RATIO);
	}

	/** Guards against the refused of one second being the wave of the next. */
	@Test
	void theRefusedDoNotComeBackTogether() {
		final FleetAdmission admission = new FleetAdmission(1, () -> 1);
		final long[] returnsPerTenth = new long[TENTHS];
		for (int id = 0; id < REFUSED; id++) {
			final long millis = admission.retryAfterMillis(0, request(id), 0);
			assertThat(millis).isBetween(1L, RESPECTED_MILLIS);
			returnsPerTenth[(int) Math.min(TENTHS - 1, millis * TENTHS / RESPECTED_MILLIS)]++;
		}
		assertThat(Arrays.stream(returnsPerTenth).max().orElseThrow()).isLessThanOrEqualTo(2 * REFUSED / TENTHS);
	}

	private static RequestInfo request(long id) {
		return new RequestInfo(id, "workspace", TargetKind.MODEL, FleetSimulation.MODEL, 100, 100, 9,
				RESPECTED_MILLIS * 1_000_000, 3 * RESPECTED_MILLIS * 1_000_000, true, ClaimRequirement.NONE, "",
				List.of());
	}

}
