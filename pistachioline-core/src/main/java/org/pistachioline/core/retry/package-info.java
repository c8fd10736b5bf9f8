/**
 * Whether a failed attempt is followed by another.
 */
package org.pistachioline.core.retry;
