package org.pistachioline.core.presence;

import org.pistachioline.core.fleet.EngineState;

/**
 * What an instance answered, and since when that can be relied on.
 *
 * @param state what it said that it holds
 * @param probedAtNanos the monotonic time just before it was asked
 */
public record PresenceProof(EngineState state, long probedAtNanos) {

}
