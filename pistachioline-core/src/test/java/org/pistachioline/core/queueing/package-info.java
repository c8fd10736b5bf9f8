/**
 * Tests of queueing.
 */
package org.pistachioline.core.queueing;
