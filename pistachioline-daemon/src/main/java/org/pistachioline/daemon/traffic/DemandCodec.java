package org.pistachioline.daemon.traffic;

import java.util.HashMap;
import java.util.Map;

import org.pistachioline.core.demand.DemandKey;
import org.pistachioline.core.demand.DemandRates;
import org.pistachioline.core.demand.WorkspaceKey;
import org.pistachioline.protocol.peer.DemandEstimate;
import org.pistachioline.protocol.peer.DemandRate;
import org.pistachioline.protocol.peer.WorkspaceRate;

/**
 * Encodes estimates of demand for heartbeats.
 */
final class DemandCodec {

	private DemandCodec() {
	}

	static DemandEstimate encode(org.pistachioline.core.demand.DemandEstimate estimate) {
		final DemandEstimate.Builder message = DemandEstimate.newBuilder();
		estimate.rates()
			.forEach((key,
					rates) -> message.addRates(DemandRate.newBuilder()
						.setName(key.name())
						.setPriority(key.priority())
						.setRequestsPerSecond((float) rates.requestsPerSecond())
						.setRefusedPerSecond((float) rates.refusedPerSecond())
						.setLatePerSecond((float) rates.latePerSecond())
						.setCostPerSecond((float) rates.costPerSecond())));
		estimate.workspaceCosts()
			.forEach((key,
					cost) -> message.addWorkspaces(WorkspaceRate.newBuilder()
						.setWorkspace(key.workspace())
						.setName(key.name())
						.setCostPerSecond(cost.floatValue())));
		return message.build();
	}

	/**
	 * Decodes an estimate, whose rates are not checked.
	 * @param message the message
	 * @return the estimate; of two entries with the same key, the last one counts
	 */
	static org.pistachioline.core.demand.DemandEstimate decode(DemandEstimate message) {
		final Map<DemandKey, DemandRates> rates = new HashMap<>();
		message.getRatesList()
			.forEach((rate) -> rates.put(new DemandKey(rate.getName(), rate.getPriority()),
					new DemandRates(rate.getRequestsPerSecond(), rate.getRefusedPerSecond(), rate.getLatePerSecond(),
							rate.getCostPerSecond())));
		final Map<WorkspaceKey, Double> costs = new HashMap<>();
		message.getWorkspacesList()
			.forEach((rate) -> costs.put(new WorkspaceKey(rate.getWorkspace(), rate.getName()),
					(double) rate.getCostPerSecond()));
		return new org.pistachioline.core.demand.DemandEstimate(rates, costs);
	}

}
