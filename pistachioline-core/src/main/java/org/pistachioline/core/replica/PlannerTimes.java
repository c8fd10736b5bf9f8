package org.pistachioline.core.replica;

/**
 * The timeouts of the planner.
 *
 * @param stallTimeoutNanos how long a head runs on after it has lost a member; until then
 * it may still hold requests of the group
 * @param loadWindowNanos the window over which the rate of weight loads is measured
 * @param handoverNanos how long the previous planner may go on to send orders after this
 * one has begun
 */
public record PlannerTimes(long stallTimeoutNanos, long loadWindowNanos, long handoverNanos) {

}
