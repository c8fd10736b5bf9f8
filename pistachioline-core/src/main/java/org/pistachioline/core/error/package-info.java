/**
 * Closed set of error kinds that callers can get, and the exception that carries one.
 */
package org.pistachioline.core.error;
