package org.pistachioline.adapters.stream;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;

import org.pistachioline.adapters.codec.RecordCodec;
import org.pistachioline.adapters.platform.LogEntry;
import org.pistachioline.adapters.platform.LogPage;
import org.pistachioline.core.event.EventId;
import org.pistachioline.core.record.LogRecord;
import org.pistachioline.core.record.RecordBody;
import org.pistachioline.core.state.RejectReason;

/**
 * A stream of the log in memory, with retention at will.
 */
final class StreamPages {

	static final long ENTRY_INTERVAL_MILLIS = 1_000;

	private final List<LogEntry> entries = new ArrayList<>();

	private int headOffset;

	long append(String writer, long sequence, RecordBody body) {
		return appendBytes(RecordCodec.encode(List.of(new LogRecord(writer, sequence, 1, body))));
	}

	long appendBytes(byte[] payloadBytes) {
		final long offset = this.entries.size();
		this.entries.add(new LogEntry(offset, (offset + 1) * ENTRY_INTERVAL_MILLIS, payloadBytes));
		return offset;
	}

	void expireBelow(long offset) {
		this.headOffset = (int) offset;
	}

	LogPage page(long fromOffset) {
		final int from = (int) Math.max(fromOffset, this.headOffset);
		final List<LogEntry> page = (from >= this.entries.size()) ? List.of()
				: this.entries.subList(from, this.entries.size());
		return new LogPage(this.headOffset, this.entries.size(), page);
	}

	void readAll(StreamFollower<?> follower) {
		for (int i = 0; i < 4; i++) {
			if (!follower.onPage(page(follower.readOffset()))) {
				return;
			}
		}
	}

	/**
	 * Keeps the events that a follower noted.
	 */
	static final class Notes implements FollowerListener {

		private final List<EventId> events = new ArrayList<>();

		@Override
		public void onFolded(long offset, LogRecord record, Optional<RejectReason> rejection) {
		}

		@Override
		public void onNote(EventId event, long offset, String detail) {
			this.events.add(event);
		}

		List<EventId> events() {
			return this.events;
		}

		List<EventId> only(EventId... wanted) {
			return this.events.stream().filter(Arrays.asList(wanted)::contains).toList();
		}

	}

}
