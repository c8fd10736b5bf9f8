/**
 * The agreed state and the pure reducers that fold records into it.
 */
package org.pistachioline.core.state;
