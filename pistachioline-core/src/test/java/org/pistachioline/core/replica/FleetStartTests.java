package org.pistachioline.core.replica;

import java.util.List;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import org.pistachioline.core.route.EngineModel;
import org.pistachioline.core.route.EngineSpec;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

class FleetStartTests {

	@ParameterizedTest
	@ValueSource(booleans = { false, true })
	void allInstancesServeBeforeTheFirstRequest(boolean fleetDecisions) {
		final ReplicaSimulation simulation = new ReplicaSimulation(1, 6, 0, 0, fleetDecisions);
		simulation.run(25_000, false);
		assertThat(simulation.countServingInstances()).isEqualTo(60);
		assertThat(simulation.violations).isEmpty();
	}

	/**
	 * Guards against a start in which instances are listed one after the other and the
	 * model with the smallest groups gets all of them.
	 */
	@ParameterizedTest
	@ValueSource(booleans = { false, true })
	void eachModelHasItsShareWhenInstancesAreListedOneByOne(boolean fleetDecisions) {
		final ReplicaSimulation simulation = new ReplicaSimulation(1, 6, 0, 0, fleetDecisions);
		simulation.listingIntervalMillis = 100;
		simulation.run(16_000, false);
		assertThat(simulation.countServingGroups("large")).isGreaterThanOrEqualTo(6);
		assertThat(simulation.countServingGroups("small")).isGreaterThanOrEqualTo(12);
		assertThat(simulation.violations).isEmpty();
	}

	/**
	 * Guards against a fleet that starts with too few of the larger groups, as smaller
	 * ones are complete sooner while instances are being listed, and regroups under load.
	 */
	@ParameterizedTest
	@CsvSource({ "8, 2, 9, 18", "12, 6, 6, 27", "6, 3, 4, 9", "4, 2, 4, 9" })
	void theModelsHaveTheirSharesWhenTheFirstRequestArrives(int large, int small, int domains, int domainSize) {
		final EngineSpec engine = new EngineSpec(12, List.of(new EngineModel("large", large, 0.5, 1, 16_000, 1_600),
				new EngineModel("small", small, 0.5, 0.6, 12_000, 1_100)), 5, 4, 300);
		final ReplicaSimulation simulation = new ReplicaSimulation(3, engine, domains, domainSize, 0, 0, true, 4);
		simulation.listingIntervalMillis = 5_000 / (domains * domainSize);
		simulation.run(ReplicaSimulation.TRAFFIC_STARTS_AT_MILLIS, false);
		final double largeInstances = large * simulation.countServingGroups("large");
		assertThat(largeInstances / simulation.countServingInstances()).isCloseTo(0.5, within(0.1));
	}

}
