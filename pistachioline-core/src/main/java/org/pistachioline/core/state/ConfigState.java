package org.pistachioline.core.state;

import org.pistachioline.core.manifest.Manifest;

/**
 * The configuration that results from applying all records of the configuration stream.
 *
 * @param version the number of manifests accepted so far; 0 before the first
 * @param acceptedOffset the offset of the last accepted manifest; -1 before the first
 * @param acceptedWriter the writer of the last accepted manifest; empty before the first
 * @param acceptedSequence the writer's sequence number of that record; 0 before the first
 * @param manifest the manifest in force
 * @param writers the last record of each writer of the stream
 */
public record ConfigState(long version, long acceptedOffset, String acceptedWriter, long acceptedSequence,
		Manifest manifest, WriterMarks writers) {

	/** The state before any manifest was accepted. */
	public static final ConfigState EMPTY = new ConfigState(0, -1, "", 0, Manifest.EMPTY, WriterMarks.EMPTY);

	ConfigState withWriters(WriterMarks marks) {
		return new ConfigState(this.version, this.acceptedOffset, this.acceptedWriter, this.acceptedSequence,
				this.manifest, marks);
	}

}
