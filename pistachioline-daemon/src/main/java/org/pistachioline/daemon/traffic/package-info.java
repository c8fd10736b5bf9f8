/**
 * Requests in flight: the decision core's thread and the streams between callers and
 * targets.
 */
package org.pistachioline.daemon.traffic;
