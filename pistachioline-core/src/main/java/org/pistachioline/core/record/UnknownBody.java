package org.pistachioline.core.record;

/**
 * A body of a kind that this code does not know; it changes nothing.
 */
public record UnknownBody() implements RecordBody {

}
