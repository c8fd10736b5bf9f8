/**
 * Immutable types for the records of the shared log.
 */
package org.pistachioline.core.record;
