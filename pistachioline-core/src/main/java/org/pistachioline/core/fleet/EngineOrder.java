package org.pistachioline.core.fleet;

/**
 * An order to one engine.
 *
 * @param load whether to load; otherwise to unload
 * @param groupId the group
 * @param fencingToken the group's epoch
 * @param rank the instance's rank
 * @param memberCount how many members the group has
 * @param model the model
 * @param lifetimeMillis how long the order may be acted upon after it was sent
 */
public record EngineOrder(boolean load, String groupId, long fencingToken, int rank, int memberCount, String model,
		long lifetimeMillis) {

}
