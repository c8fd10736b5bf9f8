package org.pistachioline.core.replica;

import java.util.List;

import org.junit.jupiter.api.Test;

import org.pistachioline.core.route.EngineModel;
import org.pistachioline.core.route.EngineSpec;

import static org.assertj.core.api.Assertions.assertThat;

class DomainTooSmallTests {

	private static final EngineSpec ENGINE = new EngineSpec(12, List
		.of(new EngineModel("large", 4, 0.5, 1, 16_000, 1_600), new EngineModel("small", 2, 0.5, 0.6, 12_000, 1_100)),
			5, 4, 300);

	/** Guards against loads of weights that no group of the domain can ever use. */
	@Test
	void noWeightsAreLoadedWhereTheDomainIsSmallerThanTheModelsGroups() {
		final ReplicaSimulation simulation = new ReplicaSimulation(3, ENGINE, 6, 3, 0, 0, true, 4);
		simulation.run(ReplicaSimulation.TRAFFIC_STARTS_AT_MILLIS, false);
		new FleetChurn(simulation).run(30_000);
		assertThat(simulation.instances.values())
			.noneMatch((instance) -> instance.stagedModels.contains("large") || instance.stagingModel.equals("large"));
		assertThat(simulation.violations).isEmpty();
	}

}
