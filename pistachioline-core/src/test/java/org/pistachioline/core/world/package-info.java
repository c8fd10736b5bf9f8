/**
 * Shared support for simulations in virtual time.
 */
package org.pistachioline.core.world;
