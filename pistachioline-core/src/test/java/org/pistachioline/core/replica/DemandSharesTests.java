package org.pistachioline.core.replica;

import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;

import org.pistachioline.core.route.EngineModel;
import org.pistachioline.core.route.EngineSpec;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

class DemandSharesTests {

	private static final long SECOND_NANOS = 1_000_000_000L;

	private static final EngineSpec ENGINE = new EngineSpec(12, List
		.of(new EngineModel("large", 4, 0.5, 1, 16_000, 1_600), new EngineModel("small", 2, 0.5, 0.6, 12_000, 1_100)),
			5, 4, 300);

	private final DemandShares shares = new DemandShares();

	/**
	 * Guards against serving groups that are given up, and taken back a second later,
	 * because few requests of a model happened to arrive in one second.
	 */
	@Test
	void theSharesHardlyMoveWithTheRequestsOfOneSecond() {
		update(0, 0.5);
		update(1, 0.25);
		update(2, 0.75);
		update(3, 0.5);
		assertThat(this.shares.inForce().get("large")).isCloseTo(0.5, within(0.1));
	}

	@Test
	void theSharesFollowADemandThatLasts() {
		update(0, 0.5);
		for (int second = 1; second <= 15; second++) {
			update(second, 0.8);
		}
		assertThat(this.shares.inForce().get("large")).isCloseTo(0.8, within(0.1));
		assertThat(this.shares.inForce().get("small")).isCloseTo(0.2, within(0.1));
	}

	@Test
	void theDeclaredSharesApplyUntilTheDemandIsKnown() {
		this.shares.update(0, ENGINE, Map.of());
		assertThat(this.shares.inForce()).isEqualTo(Map.of("large", 0.5, "small", 0.5));
	}

	@Test
	void aValueThatIsNoNumberCountsAsNoDemand() {
		this.shares.update(0, ENGINE, Map.of("large", Double.NaN, "small", -1.0));
		assertThat(this.shares.inForce()).isEqualTo(Map.of("large", 0.5, "small", 0.5));
	}

	@Test
	void modelsWithoutDeclaredSharesFollowTheDemandFromTheStart() {
		final EngineSpec undeclared = new EngineSpec(12, List.of(new EngineModel("large", 4, 0, 1, 16_000, 1_600),
				new EngineModel("small", 2, 0, 0.6, 12_000, 1_100)), 5, 4, 300);
		this.shares.update(0, undeclared, Map.of());
		assertThat(this.shares.inForce()).isEmpty();
		this.shares.update(SECOND_NANOS, undeclared, Map.of("large", 0.8, "small", 0.2));
		assertThat(this.shares.inForce()).isEqualTo(Map.of("large", 0.8, "small", 0.2));
	}

	private void update(int second, double large) {
		this.shares.update(second * SECOND_NANOS, ENGINE, Map.of("large", large, "small", 1 - large));
	}

}
