/**
 * The closed list of error kinds and the exception that carries one.
 */
package org.pistachioline.core.error;
