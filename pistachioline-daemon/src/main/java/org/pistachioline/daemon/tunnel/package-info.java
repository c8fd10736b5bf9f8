/**
 * Connects to targets, directly or through another daemon if this one is partitioned from
 * them.
 */
package org.pistachioline.daemon.tunnel;
