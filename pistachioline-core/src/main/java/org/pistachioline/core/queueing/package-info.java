/**
 * Queueing policies, which decide which requests wait for a target and which one is
 * dispatched next.
 */
package org.pistachioline.core.queueing;
