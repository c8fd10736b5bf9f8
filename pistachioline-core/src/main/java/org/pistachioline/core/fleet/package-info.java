/**
 * Instances as listed by the platform, and the state and orders of their engines.
 */
package org.pistachioline.core.fleet;
