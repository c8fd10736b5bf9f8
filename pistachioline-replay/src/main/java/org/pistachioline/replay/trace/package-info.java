/**
 * The lines of a trace and how they are read; docs/TRACES.md describes them.
 */
package org.pistachioline.replay.trace;
