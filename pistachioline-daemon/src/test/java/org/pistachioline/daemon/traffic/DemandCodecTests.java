package org.pistachioline.daemon.traffic;

import java.util.HashMap;
import java.util.Map;

import org.junit.jupiter.api.Test;

import org.pistachioline.core.demand.DemandEstimate;
import org.pistachioline.core.demand.DemandKey;
import org.pistachioline.core.demand.DemandRates;
import org.pistachioline.core.demand.FleetDemand;
import org.pistachioline.core.demand.WorkspaceKey;
import org.pistachioline.protocol.peer.DemandRate;

import static org.assertj.core.api.Assertions.assertThat;

class DemandCodecTests {

	private static final int HEARTBEATS_PER_SECOND = 7;

	/** The bound for all control between daemons. */
	private static final int MAX_CONTROL_BYTES_PER_SECOND = 11_000;

	private static DemandEstimate estimate(int names, int priorities, int workspaces) {
		final Map<DemandKey, DemandRates> rates = new HashMap<>();
		for (int name = 0; name < names; name++) {
			for (int priority = 0; priority < priorities; priority++) {
				rates.put(new DemandKey("assistant/model-" + name, priority), new DemandRates(1.5, 0.5, 0.25, 300));
			}
		}
		final Map<WorkspaceKey, Double> costs = new HashMap<>();
		for (int workspace = 0; workspace < workspaces; workspace++) {
			costs.put(new WorkspaceKey("workspace-" + workspace, "assistant/model-0"), 12.5);
		}
		return new DemandEstimate(rates, costs);
	}

	@Test
	void anEstimateIsDecodedAsItWasEncoded() {
		final DemandEstimate estimate = estimate(2, 3, 5);
		assertThat(DemandCodec.decode(DemandCodec.encode(estimate))).isEqualTo(estimate);
	}

	/** Guards against heartbeats that use up what daemons may send to each other. */
	@Test
	void estimatesOfThreeNamesAndTwentyFourWorkspacesFitTheBoundForControl() {
		final int bytes = DemandCodec.encode(estimate(3, 3, 24)).getSerializedSize();
		assertThat(bytes * HEARTBEATS_PER_SECOND).isLessThanOrEqualTo(MAX_CONTROL_BYTES_PER_SECOND);
	}

	/** Guards against a peer of another release or a faulty one. */
	@Test
	void anEstimateWithImpossibleEntriesIsDecodedAndThenRejected() {
		final DemandEstimate decoded = DemandCodec.decode(org.pistachioline.protocol.peer.DemandEstimate.newBuilder()
			.addRates(DemandRate.newBuilder().setName("assistant/model-0").setRequestsPerSecond(Float.NaN))
			.build());
		assertThat(new FleetDemand(0).onPeerEstimate(0, decoded)).isFalse();
	}

}
