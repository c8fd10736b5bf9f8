package org.pistachioline.core.state;

import org.pistachioline.core.manifest.Manifest;

/**
 * The agreed configuration.
 *
 * @param version rises by one with each accepted manifest; 0 before the first
 * @param acceptedOffset the offset of the accepted manifest; -1 before the first
 * @param acceptedWriter who wrote it
 * @param acceptedSequence the writer's sequence of it
 * @param manifest the manifest in force
 * @param writers the marks of the stream's writers
 */
public record ConfigState(long version, long acceptedOffset, String acceptedWriter, long acceptedSequence,
		Manifest manifest, WriterMarks writers) {

	/** The state before any manifest. */
	public static final ConfigState EMPTY = new ConfigState(0, -1, "", 0, Manifest.EMPTY, WriterMarks.EMPTY);

	ConfigState withWriters(WriterMarks marks) {
		return new ConfigState(this.version, this.acceptedOffset, this.acceptedWriter, this.acceptedSequence,
				this.manifest, marks);
	}

}
