package org.pistachioline.core.admission;

import org.pistachioline.core.error.ErrorKind;

/**
 * A refusal, and when to come back.
 *
 * @param kind the error kind
 * @param retryAfterMillis when the caller may come back; 0 where it is not said
 */
public record Refusal(ErrorKind kind, long retryAfterMillis) {

}
