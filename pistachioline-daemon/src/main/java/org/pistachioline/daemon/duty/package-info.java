/**
 * One thread for each duty, joined to the others by bounded rings.
 */
package org.pistachioline.daemon.duty;
