/**
 * Small stand-ins for the platform and the targets, started by tests, bench and
 * quickstart.
 */
package org.pistachioline.standins;
