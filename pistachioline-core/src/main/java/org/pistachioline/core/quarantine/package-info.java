/**
 * Detects requests that crash the targets running them, and quarantines such requests.
 */
package org.pistachioline.core.quarantine;
