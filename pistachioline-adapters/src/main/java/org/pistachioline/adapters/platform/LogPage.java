package org.pistachioline.adapters.platform;

import java.util.List;

/**
 * What a read of a stream gave.
 *
 * @param headOffset the lowest offset that the stream still holds
 * @param endOffset the offset that the next append will get
 * @param entries the entries read, in order
 */
public record LogPage(long headOffset, long endOffset, List<LogEntry> entries) {

	public LogPage {
		entries = List.copyOf(entries);
	}

}
