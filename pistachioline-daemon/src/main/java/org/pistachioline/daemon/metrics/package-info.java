/**
 * Metrics by Micrometer, in the Prometheus form.
 */
package org.pistachioline.daemon.metrics;
