/**
 * Policies for following the log's streams, appending to them and checkpointing them.
 */
package org.pistachioline.core.stream;
