package org.pistachioline.standins;

/**
 * An order as it arrives at an engine stand-in.
 *
 * @param kind {@code load} or {@code unload}
 * @param groupId the group
 * @param fencingNumber the group's epoch
 * @param rank the instance's rank
 * @param members how many members the group has
 * @param model the model
 * @param lifetimeMillis how long the order may be acted upon
 */
record EngineOrderMessage(String kind, String groupId, long fencingNumber, int rank, int members, String model,
		long lifetimeMillis) {

}
