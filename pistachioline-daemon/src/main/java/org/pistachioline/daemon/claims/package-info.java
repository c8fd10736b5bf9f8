/**
 * Claims of idempotency keys, made on the log.
 */
package org.pistachioline.daemon.claims;
