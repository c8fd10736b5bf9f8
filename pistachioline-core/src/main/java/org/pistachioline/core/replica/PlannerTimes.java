package org.pistachioline.core.replica;

/**
 * The times that the planner keeps to.
 *
 * @param stallTimeoutNanos how long a head goes on as though nothing had happened after
 * it lost a member; until then it may still hold requests of the group
 * @param loadWindowNanos over what time the rate of loads is counted
 */
public record PlannerTimes(long stallTimeoutNanos, long loadWindowNanos) {

}
