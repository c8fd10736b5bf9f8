/**
 * Decisions about following the log's streams and appending to them.
 */
package org.pistachioline.core.stream;
