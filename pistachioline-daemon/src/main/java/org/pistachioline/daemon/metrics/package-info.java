/**
 * Metrics, kept in Micrometer and exposed in the Prometheus text format.
 */
package org.pistachioline.daemon.metrics;
