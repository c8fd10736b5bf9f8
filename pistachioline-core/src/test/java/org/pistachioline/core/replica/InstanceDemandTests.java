package org.pistachioline.core.replica;

import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;

import org.pistachioline.core.route.EngineModel;
import org.pistachioline.core.route.EngineSpec;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

/**
 * Load: many short requests for a model with small groups beside few long ones for a
 * model with large groups.
 */
class InstanceDemandTests {

	private static final EngineSpec ENGINE = new EngineSpec(14, List
		.of(new EngineModel("large", 8, 0.5, 1, 16_000, 1_600), new EngineModel("small", 2, 0.5, 0.6, 12_000, 1_100)),
			5, 4, 300);

	/**
	 * Guards against instances that are assigned by tokens: the large model, which needs
	 * four times as many for the same slots, would keep hardly a group.
	 */
	@Test
	void aModelWithLargeGroupsNeedsMoreInstancesForItsTokens() {
		final Map<String, Double> shares = InstanceDemand.shareRatios(ENGINE, Map.of("large", 0.2, "small", 0.8));
		assertThat(shares.get("large")).isCloseTo(0.2 * 8 / (0.2 * 8 + 0.8 * 2 * 0.6), within(1e-9));
		assertThat(shares.get("large") + shares.get("small")).isCloseTo(1, within(1e-9));
	}

	@Test
	void unknownOrImpossibleDemandGivesNoShares() {
		assertThat(InstanceDemand.shareRatios(ENGINE, Map.of())).isEmpty();
		assertThat(InstanceDemand.shareRatios(ENGINE, Map.of("other", 1.0))).isEmpty();
		assertThat(InstanceDemand.shareRatios(ENGINE, Map.of("large", Double.NaN))).isEmpty();
		assertThat(InstanceDemand.shareRatios(ENGINE, Map.of("large", -1.0))).isEmpty();
	}

}
