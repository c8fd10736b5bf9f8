/**
 * HTTP towards callers and towards operators.
 */
package org.pistachioline.daemon.http;
