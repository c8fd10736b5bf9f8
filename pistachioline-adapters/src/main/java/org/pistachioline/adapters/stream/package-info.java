/**
 * Folding a stream's pages and rebuilding its state from checkpoints, without threads.
 */
package org.pistachioline.adapters.stream;
