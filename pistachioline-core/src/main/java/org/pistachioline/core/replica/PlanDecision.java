package org.pistachioline.core.replica;

/**
 * A decision of the planner, with what it was worth.
 *
 * @param kind what was decided
 * @param model the model that gains
 * @param fabricDomain the fabric domain
 * @param gainInstances what the model gains, valued in instances, and for a load what it
 * gains for each load that the group lacks
 */
public record PlanDecision(Kind kind, String model, String fabricDomain, double gainInstances) {

	/**
	 * What is decided.
	 */
	public enum Kind {

		/** A host loads weights. */
		LOAD,

		/** Free instances form a group. */
		GROUP,

		/** Serving groups are closed for a group of another model. */
		EXCHANGE

	}

}
