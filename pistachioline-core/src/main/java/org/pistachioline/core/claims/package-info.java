/**
 * Claims of idempotency keys in the log, which ensure that a non-idempotent request runs
 * at most once.
 */
package org.pistachioline.core.claims;
