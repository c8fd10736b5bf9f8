/**
 * The life of each request on one daemon: admitted, queued, placed, tried, ended once.
 */
package org.pistachioline.core.traffic;
