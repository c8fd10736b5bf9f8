/**
 * Decision logic and replicated state without I/O, threads or clocks; the current time is
 * passed in as an argument.
 */
package org.pistachioline.core;
