package org.pistachioline.core.fleet;

/**
 * What one engine says that it holds.
 *
 * @param instanceId the instance
 * @param groupId the group that it believes to be in; empty where it is free
 * @param fencingToken the group's epoch, or the highest fencing number seen
 * @param rank its rank in the group
 * @param model the model that it holds
 * @param phase how far it is
 * @param running how many requests it runs
 * @param waiting how many requests wait there
 */
public record EngineState(String instanceId, String groupId, long fencingToken, int rank, String model,
		EnginePhase phase, int running, int waiting) {

}
