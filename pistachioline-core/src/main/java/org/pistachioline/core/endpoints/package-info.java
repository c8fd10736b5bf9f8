/**
 * Selects the daemon addresses that are given to callers.
 */
package org.pistachioline.core.endpoints;
