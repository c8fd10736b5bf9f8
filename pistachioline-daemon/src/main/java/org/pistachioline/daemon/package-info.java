/**
 * The daemon's main class, and the assembly, start and stop of its components.
 */
package org.pistachioline.daemon;
