package org.pistachioline.core.demand;

import java.util.HashMap;
import java.util.Map;

/**
 * An estimate of the demand that one daemon has on average. Daemons exchange it in
 * heartbeats; times the number of daemons, it is the demand of the fleet.
 *
 * @param rates the rates of each kind of demand
 * @param workspaceCosts the work per second that each workspace asks for, in the unit of
 * {@link DemandRates#costPerSecond()}
 */
public record DemandEstimate(Map<DemandKey, DemandRates> rates, Map<WorkspaceKey, Double> workspaceCosts) {

	/** The estimate of a daemon that knows nothing. */
	public static final DemandEstimate NONE = new DemandEstimate(Map.of(), Map.of());

	public DemandEstimate {
		rates = Map.copyOf(rates);
		workspaceCosts = Map.copyOf(workspaceCosts);
	}

	/**
	 * Returns a copy without the demand of single workspaces.
	 * @return the copy
	 */
	public DemandEstimate withoutWorkspaces() {
		return new DemandEstimate(this.rates, Map.of());
	}

	/**
	 * Multiplies all rates, as with the number of daemons.
	 * @param factor the factor
	 * @return the product
	 */
	public DemandEstimate times(double factor) {
		final Map<DemandKey, DemandRates> scaledRates = new HashMap<>();
		this.rates.forEach((key, value) -> scaledRates.put(key, value.times(factor)));
		final Map<WorkspaceKey, Double> scaledCosts = new HashMap<>();
		this.workspaceCosts.forEach((key, value) -> scaledCosts.put(key, value * factor));
		return new DemandEstimate(scaledRates, scaledCosts);
	}

}
