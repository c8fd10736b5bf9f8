/**
 * Gossip-based membership: what each daemon knows of the others' status.
 */
package org.pistachioline.core.peer;
