/**
 * What instances ask of this daemon alone: no requests for a while, or none any more.
 */
package org.pistachioline.core.backoff;
