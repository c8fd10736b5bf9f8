/**
 * Instances as the platform lists them, and what engines hold.
 */
package org.pistachioline.core.fleet;
