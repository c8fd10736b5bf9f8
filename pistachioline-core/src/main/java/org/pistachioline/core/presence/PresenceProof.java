package org.pistachioline.core.presence;

import org.pistachioline.core.fleet.EngineState;

/**
 * The last probe response of an instance.
 *
 * @param state the state that the engine reported
 * @param probedAtNanos the monotonic time just before the probe was sent, from which the
 * age of the proof counts
 */
public record PresenceProof(EngineState state, long probedAtNanos) {

}
