/**
 * Tests the estimates of the fleet's demand.
 */
package org.pistachioline.core.demand;
