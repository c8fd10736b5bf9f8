/**
 * Instances, presence of groups, orders and planning.
 */
package org.pistachioline.daemon.fleet;
