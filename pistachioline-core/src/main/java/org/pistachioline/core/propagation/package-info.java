/**
 * How a configuration version spreads among daemons: which one is in force here, which
 * one is known to be newer, and from whom a copy of it is requested.
 */
package org.pistachioline.core.propagation;
