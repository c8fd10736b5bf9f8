/**
 * Enforces request rate limits that targets advertise in their responses, shared by all
 * daemons.
 */
package org.pistachioline.core.limit;
