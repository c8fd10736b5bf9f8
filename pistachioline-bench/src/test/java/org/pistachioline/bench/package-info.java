/**
 * Tests that span the daemon and the trace replay.
 */
package org.pistachioline.bench;
