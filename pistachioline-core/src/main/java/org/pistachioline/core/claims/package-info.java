/**
 * Claims of idempotency keys on the log, so that a non-idempotent request runs at most
 * once.
 */
package org.pistachioline.core.claims;
