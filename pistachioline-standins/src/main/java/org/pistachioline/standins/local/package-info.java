/**
 * The system as real processes on loopback, for tests and measurements.
 */
package org.pistachioline.standins.local;
