/**
 * Opens connections to targets.
 */
package org.pistachioline.daemon.tunnel;
