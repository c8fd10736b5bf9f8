package org.pistachioline.core.replica;

/**
 * Summarizes how the planner sees one model of a service.
 *
 * @param demandShareRatio the share in force of the instances that the model needs for
 * the demand, of 1 for all models together
 * @param entitledInstances its share of the instances that are not about to leave
 * @param servingInstances the members of its open and complete groups
 * @param formingInstances the members of its groups that were not yet ordered to open
 * @param endingInstances the listed members of its groups that no longer serve
 * @param idleHolders the instances in no group that hold its weights
 */
public record ModelSummary(double demandShareRatio, double entitledInstances, int servingInstances,
		int formingInstances, int endingInstances, int idleHolders) {

}
