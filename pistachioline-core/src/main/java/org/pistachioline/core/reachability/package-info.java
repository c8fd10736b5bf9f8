/**
 * Tracks which targets this daemon reaches by itself.
 */
package org.pistachioline.core.reachability;
