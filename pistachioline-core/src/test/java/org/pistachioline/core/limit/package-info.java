/**
 * Tests of advertised limits and backoffs with many daemons in front of shared targets.
 */
package org.pistachioline.core.limit;
