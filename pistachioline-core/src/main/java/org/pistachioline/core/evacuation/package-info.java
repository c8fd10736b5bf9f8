/**
 * Keeps requests away from availability zones that operators have asked to evacuate.
 */
package org.pistachioline.core.evacuation;
