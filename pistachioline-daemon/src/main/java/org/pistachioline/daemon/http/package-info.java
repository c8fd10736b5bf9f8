/**
 * HTTP servers for callers and for operators.
 */
package org.pistachioline.daemon.http;
