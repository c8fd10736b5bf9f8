/**
 * The records on the platform's log, as immutable data.
 */
package org.pistachioline.core.record;
