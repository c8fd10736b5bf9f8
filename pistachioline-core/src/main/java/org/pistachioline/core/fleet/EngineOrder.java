package org.pistachioline.core.fleet;

/**
 * An order to one engine to load or unload a model as a member of a group.
 *
 * @param load true to load, false to unload
 * @param groupId the group's id
 * @param fencingToken the fencing token of the order, which is the group's epoch; engines
 * that check it refuse lower ones
 * @param rank the instance's rank in the group
 * @param memberCount the number of members of the group
 * @param model the name of the model
 * @param lifetimeMillis how long the engine may act on the order after it was sent
 */
public record EngineOrder(boolean load, String groupId, long fencingToken, int rank, int memberCount, String model,
		long lifetimeMillis) {

}
