/**
 * Placement policies, which choose the target of each request, and the per-target load
 * and health state that they use.
 */
package org.pistachioline.core.placement;
