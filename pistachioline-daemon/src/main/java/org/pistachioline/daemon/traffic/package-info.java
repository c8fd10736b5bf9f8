/**
 * Active requests: the thread of the traffic core and the streams between callers and
 * targets.
 */
package org.pistachioline.daemon.traffic;
