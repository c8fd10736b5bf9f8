package org.pistachioline.core.state;

/**
 * The last record seen of one writer.
 *
 * @param sequence its sequence
 * @param offset its offset
 */
public record WriterMark(long sequence, long offset) {

}
