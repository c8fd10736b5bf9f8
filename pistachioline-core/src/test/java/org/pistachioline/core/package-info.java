/**
 * Tests of what holds for the core as a whole.
 */
package org.pistachioline.core;
