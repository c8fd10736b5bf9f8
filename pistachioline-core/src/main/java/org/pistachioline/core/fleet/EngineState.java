package org.pistachioline.core.fleet;

/**
 * The state that one engine reports.
 *
 * @param instanceId the id of the instance
 * @param groupId the id of the group that it is in; empty if it is free
 * @param fencingToken the epoch of that group, or the highest fencing token that the
 * engine has seen
 * @param rank its rank in the group
 * @param model the name of the model that it holds
 * @param phase the phase of loading
 * @param running the number of requests that it runs
 * @param waiting the number of requests that wait there
 */
public record EngineState(String instanceId, String groupId, long fencingToken, int rank, String model,
		EnginePhase phase, int running, int waiting) {

}
