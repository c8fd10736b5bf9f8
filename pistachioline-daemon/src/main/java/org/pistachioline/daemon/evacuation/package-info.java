/**
 * Applies the operators' requests to evacuate availability zones.
 */
package org.pistachioline.daemon.evacuation;
