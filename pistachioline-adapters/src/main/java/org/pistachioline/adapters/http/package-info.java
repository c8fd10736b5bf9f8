/**
 * The HTTP client that all adapters share.
 */
package org.pistachioline.adapters.http;
