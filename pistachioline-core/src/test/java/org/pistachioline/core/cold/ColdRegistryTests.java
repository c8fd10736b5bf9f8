package org.pistachioline.core.cold;

import java.util.List;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import org.pistachioline.core.placement.LiveDaemons;
import org.pistachioline.core.route.ColdStart;
import org.pistachioline.core.traffic.TargetKind;
import org.pistachioline.core.traffic.TargetView;

import static org.assertj.core.api.Assertions.assertThat;

class ColdRegistryTests {

	private static final long SECOND = 1_000_000_000L;

	private final ColdRegistry registry = new ColdRegistry();

	@BeforeEach
	void oneTarget() {
		this.registry.configure(0, Map.of("pool", new ColdStart(3_000, 4)));
		this.registry.onTargets(0, List.of(view("pool/m", "i@1")));
	}

	private static TargetView view(String name, String targetId) {
		return new TargetView(targetId, TargetKind.MODEL, name, "h:1", 1, "z1", true, 8, 0, 0, 0);
	}

	@Test
	void theLatestEndCountsWhoeverTellsOfIt() {
		assertThat(this.registry.onFound(0, List.of(new ColdTarget("i", 2 * SECOND)))).hasSize(1);
		assertThat(this.registry.onCrash(SECOND, "i")).hasSize(1);
		assertThat(this.registry.onPeerTargets(SECOND, List.of(new ColdTarget("i", 3 * SECOND)))).isEmpty();
		assertThat(this.registry.coldTargets(SECOND)).containsExactly(new ColdTarget("i", 4 * SECOND));
		assertThat(this.registry.onTick(4 * SECOND)).containsExactly("i");
		assertThat(this.registry.getOrCreate("i").isActive()).isFalse();
	}

	/**
	 * Guards against a time that daemons pass around and that grows with each frame.
	 */
	@Test
	void aTimeThatComesBackFromAPeerSlightlyLaterDoesNotProlongIt() {
		this.registry.onFound(0, List.of(new ColdTarget("i", 2 * SECOND)));
		assertThat(this.registry.onPeerTargets(SECOND, List.of(new ColdTarget("i", 2 * SECOND + SECOND / 3))))
			.isEmpty();
		this.registry.onTick(2 * SECOND);
		assertThat(this.registry.onPeerTargets(2 * SECOND, List.of(new ColdTarget("i", 2 * SECOND + SECOND / 3))))
			.isEmpty();
		assertThat(this.registry.getOrCreate("i").isActive()).isFalse();
	}

	@Test
	void aTargetThatIsListedAfterPeersToldOfItIsPacedFromItsFirstRequestOn() {
		this.registry.onPeerTargets(0, List.of(new ColdTarget("later", 9 * SECOND)));
		assertThat(this.registry.getOrCreate("later").isActive()).isFalse();
		this.registry.onTargets(SECOND, List.of(view("pool/m", "i@1"), view("pool/m", "later@1")));
		assertThat(this.registry.getOrCreate("later").isActive()).isTrue();
	}

	@Test
	void aTargetOfAServiceWithoutAColdStartIsNotPaced() {
		this.registry.onTargets(0, List.of(view("other/m", "o@1")));
		assertThat(this.registry.onFound(0, List.of(new ColdTarget("o", 9 * SECOND)))).isEmpty();
		assertThat(this.registry.onCrash(0, "o")).isEmpty();
		assertThat(this.registry.getOrCreate("o").mayStart(0)).isTrue();
	}

	/**
	 * Guards against a daemon that spends its permits while it leaves, beside the daemon
	 * that takes them over.
	 */
	@Test
	void aLeavingDaemonHoldsNoPermit() {
		final LiveDaemons alone = LiveDaemons.of("d", Set.of());
		this.registry.onLiveDaemons(0, alone);
		this.registry.onLiveDaemons(5 * SECOND, alone);
		this.registry.onFound(5 * SECOND, List.of(new ColdTarget("i", 30 * SECOND)));
		assertThat(this.registry.getOrCreate("i").ownRequestsPerSecond()).isGreaterThan(3.2);
		this.registry.onLeavingDaemons(6 * SECOND, Set.of("d"));
		assertThat(this.registry.getOrCreate("i").ownRequestsPerSecond()).isZero();
		this.registry.onLiveDaemons(20 * SECOND, alone);
		this.registry.onTick(20 * SECOND);
		assertThat(this.registry.getOrCreate("i").ownRequestsPerSecond()).isZero();
	}

	@Test
	void thePermitsOfADaemonThatLeftPassToTheOthersAfterAPause() {
		final LiveDaemons both = LiveDaemons.of("d", Set.of("e"));
		this.registry.onLiveDaemons(0, both);
		this.registry.onLiveDaemons(5 * SECOND, both);
		this.registry.onFound(5 * SECOND, List.of(new ColdTarget("i", 600 * SECOND)));
		final double shared = this.registry.getOrCreate("i").ownRequestsPerSecond();
		final LiveDaemons alone = LiveDaemons.of("d", Set.of());
		this.registry.onLeavingDaemons(10 * SECOND, Set.of("e"));
		this.registry.onLiveDaemons(12 * SECOND, alone);
		assertThat(this.registry.getOrCreate("i").ownRequestsPerSecond()).isEqualTo(shared).isLessThan(3.2);
		this.registry.onLiveDaemons(14 * SECOND, alone);
		assertThat(this.registry.getOrCreate("i").ownRequestsPerSecond()).isGreaterThan(3.2);
	}

	@Test
	void rateBelowOneIsOneStartInALongerInterval() {
		this.registry.configure(0, Map.of("pool", new ColdStart(3_000, 0.5)));
		this.registry.onLiveDaemons(0, LiveDaemons.of("d", Set.of()));
		this.registry.onLiveDaemons(5 * SECOND, LiveDaemons.of("d", Set.of()));
		this.registry.onFound(5 * SECOND, List.of(new ColdTarget("i", 60 * SECOND)));
		final ColdPace pace = this.registry.getOrCreate("i");
		pace.onStart(8 * SECOND);
		assertThat(pace.mayStart(10 * SECOND)).isFalse();
		assertThat(pace.mayStart(10 * SECOND + SECOND / 5)).isTrue();
	}

	@Test
	void aRateOfThousandsIsDividedIntoFewPermitsAndUsedUp() {
		this.registry.configure(0, Map.of("pool", new ColdStart(3_000, 5_000)));
		this.registry.onLiveDaemons(0, LiveDaemons.of("d", Set.of()));
		this.registry.onLiveDaemons(5 * SECOND, LiveDaemons.of("d", Set.of()));
		this.registry.onFound(5 * SECOND, List.of(new ColdTarget("i", 60 * SECOND)));
		assertThat(this.registry.getOrCreate("i").ownRequestsPerSecond()).isBetween(4_000.0, 5_000.0);
	}

}
