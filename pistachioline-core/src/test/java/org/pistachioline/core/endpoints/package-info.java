/**
 * Tests of endpoint selection.
 */
package org.pistachioline.core.endpoints;
