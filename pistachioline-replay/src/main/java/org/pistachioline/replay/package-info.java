/**
 * Replays recorded traffic in virtual time through the daemon's decisions.
 */
package org.pistachioline.replay;
