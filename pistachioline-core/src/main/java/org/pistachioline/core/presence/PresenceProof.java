package org.pistachioline.core.presence;

import org.pistachioline.core.fleet.HeldState;

/**
 * What an instance answered, and since when that can be relied on.
 *
 * @param held what it said that it holds
 * @param askedAtNanos the monotonic time just before it was asked
 */
public record PresenceProof(HeldState held, long askedAtNanos) {

}
