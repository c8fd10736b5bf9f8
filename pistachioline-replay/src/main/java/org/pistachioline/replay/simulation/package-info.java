/**
 * A queue of events in virtual time with small fakes of callers, targets and the log
 * around the daemon's decisions.
 */
package org.pistachioline.replay.simulation;
