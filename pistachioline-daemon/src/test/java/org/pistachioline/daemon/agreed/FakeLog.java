package org.pistachioline.daemon.agreed;

import java.util.ArrayList;
import java.util.List;

import org.pistachioline.adapters.platform.LogEntry;
import org.pistachioline.adapters.platform.LogPage;

/**
 * In-memory stand-in for one stream of the log, with a retention head that tests move.
 */
final class FakeLog {

	private final List<LogEntry> entries = new ArrayList<>();

	private long headOffset;

	long append(byte[] payloadBytes) {
		this.entries.add(new LogEntry(this.entries.size(), this.entries.size() + 1L, payloadBytes));
		return this.entries.size() - 1L;
	}

	void expireBelow(long offset) {
		this.headOffset = Math.max(this.headOffset, offset);
	}

	long endOffset() {
		return this.entries.size();
	}

	LogPage read(long fromOffset, int maxEntries) {
		return page(Math.max(fromOffset, this.headOffset), maxEntries, this.headOffset);
	}

	LogPage readUnexpired(long fromOffset) {
		return page(fromOffset, Integer.MAX_VALUE, 0);
	}

	private LogPage page(long fromOffset, int maxEntries, long head) {
		final int from = (int) Math.min(fromOffset, this.entries.size());
		final int to = (int) Math.min(this.entries.size(), (long) from + maxEntries);
		return new LogPage(head, this.entries.size(), this.entries.subList(from, to));
	}

}
