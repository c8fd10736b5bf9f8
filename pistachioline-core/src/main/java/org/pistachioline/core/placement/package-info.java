/**
 * Which target a request goes to.
 */
package org.pistachioline.core.placement;
