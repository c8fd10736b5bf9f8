package org.pistachioline.core.demand;

/**
 * The rates of one kind of demand.
 *
 * @param requestsPerSecond the requests that arrive
 * @param refusedPerSecond the requests among them that are refused
 * @param costPerSecond the work that the arriving requests ask for, in tokens for models
 * and in requests for services
 */
public record DemandRates(double requestsPerSecond, double refusedPerSecond, double costPerSecond) {

	/** No demand. */
	public static final DemandRates NONE = new DemandRates(0, 0, 0);

}
