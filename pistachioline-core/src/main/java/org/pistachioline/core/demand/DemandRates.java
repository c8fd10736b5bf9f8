package org.pistachioline.core.demand;

/**
 * The rates of one kind of demand.
 *
 * @param requestsPerSecond the requests that arrive
 * @param refusedPerSecond the requests among them that are refused
 * @param latePerSecond the requests among them whose callers have waited for so long
 * already that they cannot be answered on time
 * @param costPerSecond the work that the arriving requests ask for, in tokens for models
 * and in requests for services
 */
public record DemandRates(double requestsPerSecond, double refusedPerSecond, double latePerSecond,
		double costPerSecond) {

	/** No demand. */
	public static final DemandRates NONE = new DemandRates(0, 0, 0, 0);

	private static final double MAX_PER_SECOND = 1e12;

	/**
	 * Returns the work that late requests ask for.
	 * @return the cost per second
	 */
	public double lateCostPerSecond() {
		return (this.requestsPerSecond > 0)
				? this.costPerSecond * Math.min(1, this.latePerSecond / this.requestsPerSecond) : 0;
	}

	/**
	 * Multiplies all rates.
	 * @param factor the factor
	 * @return the product
	 */
	public DemandRates times(double factor) {
		return new DemandRates(this.requestsPerSecond * factor, this.refusedPerSecond * factor,
				this.latePerSecond * factor, this.costPerSecond * factor);
	}

	/**
	 * Adds other rates.
	 * @param other the other rates
	 * @return the sum
	 */
	public DemandRates plus(DemandRates other) {
		return new DemandRates(this.requestsPerSecond + other.requestsPerSecond,
				this.refusedPerSecond + other.refusedPerSecond, this.latePerSecond + other.latePerSecond,
				this.costPerSecond + other.costPerSecond);
	}

	/**
	 * Returns whether all rates are possible ones.
	 * @return false if one is negative, infinite, far too large or not a number
	 */
	boolean isValid() {
		return isValid(this.requestsPerSecond) && isValid(this.refusedPerSecond) && isValid(this.latePerSecond)
				&& isValid(this.costPerSecond);
	}

	static boolean isValid(double perSecond) {
		// False for what is not a number, too.
		return perSecond >= 0 && perSecond <= MAX_PER_SECOND;
	}

}
