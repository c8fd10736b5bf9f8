/**
 * The life cycle of requests on one daemon: admission, queueing, placement, attempts and
 * retries, until each request ends exactly once.
 */
package org.pistachioline.core.traffic;
