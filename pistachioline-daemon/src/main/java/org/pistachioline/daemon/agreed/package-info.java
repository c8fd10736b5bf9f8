/**
 * Following and appending to the platform's log.
 */
package org.pistachioline.daemon.agreed;
