/**
 * Claims of idempotency keys, which are decided by the order of records on the log.
 */
package org.pistachioline.daemon.claims;
