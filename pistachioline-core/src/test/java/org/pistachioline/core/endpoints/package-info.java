/**
 * Tests of the choice of endpoints.
 */
package org.pistachioline.core.endpoints;
