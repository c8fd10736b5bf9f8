package org.pistachioline.core.state;

/**
 * The position of the last record that was read of a writer.
 *
 * @param sequence the writer's sequence number of the record
 * @param offset the offset of the record
 */
public record WriterMark(long sequence, long offset) {

}
