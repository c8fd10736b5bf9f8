package org.pistachioline.core.replica;

import java.util.List;

import org.junit.jupiter.api.Test;

import org.pistachioline.core.route.EngineModel;
import org.pistachioline.core.route.EngineSpec;

import static org.assertj.core.api.Assertions.assertThat;

class PoolSummaryTests {

	private static final EngineSpec ENGINE = new EngineSpec(12, List
		.of(new EngineModel("large", 4, 0.5, 1, 16_000, 1_600), new EngineModel("small", 2, 0.5, 0.6, 12_000, 1_100)),
			5, 4, 300);

	private final ReplicaSimulation simulation = new ReplicaSimulation(7, ENGINE, 2, 10, 0, 0, true, 4);

	@Test
	void eachModelIsSummarizedWithItsDemandAndItsInstances() {
		this.simulation.run(ReplicaSimulation.TRAFFIC_STARTS_AT_MILLIS, false);
		final PoolSummary summary = this.simulation.summary();
		assertThat(summary.models()).containsOnlyKeys("large", "small");
		assertThat(summary.models().get("large").demandShareRatio()).isEqualTo(0.5);
		assertThat(summary.models().get("large").entitledInstances()).isEqualTo(10);
		assertThat(summary.models().values().stream().mapToInt(ModelSummary::servingInstances).sum())
			.isEqualTo(this.simulation.countServingInstances());
	}

	@Test
	void aLostGroupIsReportedWithItsCauseOnceItsMembersAreFree() {
		this.simulation.run(ReplicaSimulation.TRAFFIC_STARTS_AT_MILLIS, false);
		this.simulation.takeGroupLosses();
		final SimulatedInstance head = this.simulation.instances.values()
			.stream()
			.filter((instance) -> instance.state == MemberState.OPEN)
			.findFirst()
			.orElseThrow();
		final GroupId lost = head.group;
		this.simulation.instances.get(head.members.get(1)).alive = false;
		this.simulation.instances.get(head.members.get(1)).failedAtMillis = this.simulation.nowMillis;
		this.simulation.run(10_000, false);
		assertThat(this.simulation.takeGroupLosses()).singleElement().satisfies((loss) -> {
			assertThat(loss.group()).isEqualTo(lost);
			assertThat(loss.cause()).isEqualTo(GroupLoss.Cause.DELISTED);
			assertThat(loss.standstillNanos()).isPositive();
		});
	}

}
