/**
 * Estimates the demand of the whole fleet from what one daemon sees and hears.
 */
package org.pistachioline.core.demand;
