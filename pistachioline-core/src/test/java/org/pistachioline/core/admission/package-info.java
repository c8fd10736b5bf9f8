/**
 * Tests of admission.
 */
package org.pistachioline.core.admission;
