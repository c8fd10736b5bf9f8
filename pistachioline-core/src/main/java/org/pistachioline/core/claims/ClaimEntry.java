package org.pistachioline.core.claims;

import java.util.Optional;

import org.pistachioline.core.record.KeyClaim;
import org.pistachioline.core.record.KeyOutcome;

/**
 * One claimed key.
 *
 * @param claim the claim
 * @param claimOffset its offset
 * @param writer who claimed it
 * @param outcome what came of it, once that is known
 */
public record ClaimEntry(KeyClaim claim, long claimOffset, String writer, Optional<KeyOutcome> outcome) {

}
