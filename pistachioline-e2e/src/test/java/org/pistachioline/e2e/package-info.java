/**
 * Tests over real processes on loopback, which each test starts and ends itself.
 */
package org.pistachioline.e2e;
