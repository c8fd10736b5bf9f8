/**
 * Tests of the trace replay.
 */
package org.pistachioline.replay;
