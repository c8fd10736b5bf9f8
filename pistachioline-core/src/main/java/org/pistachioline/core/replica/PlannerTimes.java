package org.pistachioline.core.replica;

/**
 * The timeouts of the planner.
 *
 * @param stallTimeoutNanos how long a head runs on after it has lost a member; until then
 * it may still hold requests of the group
 * @param loadWindowNanos the window over which the rate of weight loads is measured
 */
public record PlannerTimes(long stallTimeoutNanos, long loadWindowNanos) {

}
