package org.pistachioline.core.record;

/**
 * A body of a kind that this version of the software does not know. Reducers reject the
 * record.
 */
public record UnknownBody() implements RecordBody {

}
