/**
 * Replay of faults of instances and planners through the real planner, in virtual time.
 */
package org.pistachioline.replay.fleet;
