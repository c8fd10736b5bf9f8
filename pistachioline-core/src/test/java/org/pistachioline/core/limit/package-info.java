/**
 * Tests of limits that targets name, by many daemons before the same targets.
 */
package org.pistachioline.core.limit;
