/**
 * Paces the requests to targets that have not warmed up, over all daemons together.
 */
package org.pistachioline.core.cold;
