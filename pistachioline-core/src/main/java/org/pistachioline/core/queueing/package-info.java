/**
 * Who waits and who goes next.
 */
package org.pistachioline.core.queueing;
