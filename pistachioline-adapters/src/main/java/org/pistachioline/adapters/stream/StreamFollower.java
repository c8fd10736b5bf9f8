package org.pistachioline.adapters.stream;

import java.util.List;
import java.util.Optional;

import org.pistachioline.adapters.codec.CorruptRecordException;
import org.pistachioline.adapters.codec.RecordCodec;
import org.pistachioline.adapters.codec.SnapshotCodec;
import org.pistachioline.adapters.platform.LogEntry;
import org.pistachioline.adapters.platform.LogPage;
import org.pistachioline.core.event.EventId;
import org.pistachioline.core.record.CheckpointPart;
import org.pistachioline.core.record.LogRecord;
import org.pistachioline.core.state.ApplyResult;
import org.pistachioline.core.state.Reducer;
import org.pistachioline.core.state.RejectReason;
import org.pistachioline.core.stream.CheckpointCoverage;
import org.pistachioline.core.stream.StreamCondition;

/**
 * Folds the pages of one stream in order, and finds its way back over expired records.
 * <p>
 * Made for logs that keep entries for a limited time and for daemons of two releases side
 * by side. Three things could make two daemons hold different states at the same offset,
 * which would put an instance in two groups or run a claimed request twice:
 * <ul>
 * <li>Records expired before they were read. Folding on from the head would treat what is
 * merely unknown as absent, so the state stays in limbo until a checkpoint covers the
 * gap.</li>
 * <li>A record of a newer schema. Skipping it would part this daemon's state from that of
 * newer ones, so folding halts in front of it.</li>
 * <li>An entry that cannot be decoded. Its bytes are the same everywhere, so everybody
 * skips it.</li>
 * </ul>
 * It has no thread and no clock; its owner reads pages and hands them over.
 *
 * @param <S> the type of state
 */
public final class StreamFollower<S> {

	/** The log's limit on an entry; a larger one did not come from an append. */
	public static final int MAX_ENTRY_BYTES = 1024 * 1024;

	private final Reducer<S> reducer;

	private final SnapshotCodec<S> codec;

	private final FollowerListener listener;

	private final CheckpointParts parts = new CheckpointParts();

	private final CoverTracker tracker = new CoverTracker();

	private S state;

	private StreamCondition condition = StreamCondition.UNREAD;

	private boolean caughtUp;

	private long nextOffset;

	private long scanOffset;

	private long foldedRecords;

	private long rejectedRecords;

	private long skippedEntries;

	/**
	 * Creates a follower that has read nothing.
	 * @param reducer what folds the records
	 * @param codec what reads checkpoints
	 * @param listener hears what was folded
	 */
	public StreamFollower(Reducer<S> reducer, SnapshotCodec<S> codec, FollowerListener listener) {
		this.reducer = reducer;
		this.codec = codec;
		this.listener = listener;
		this.state = reducer.initial();
	}

	/**
	 * Returns the offset to read from next.
	 * @return the offset
	 */
	public long readOffset() {
		return (this.condition == StreamCondition.LIMBO) ? this.scanOffset : this.nextOffset;
	}

	/**
	 * Takes a page that was read from {@link #readOffset()} on.
	 * @param page the page
	 * @return whether to read on at once; otherwise the owner waits as after a failure
	 */
	public boolean onPage(LogPage page) {
		if (this.condition == StreamCondition.HALTED) {
			return false;
		}
		if (page.endOffset() < this.nextOffset) {
			// A log that lost its end would make this state revert to an older one.
			this.listener.onNote(EventId.LOG_END_REGRESSED, page.endOffset(), "next offset " + this.nextOffset);
			return false;
		}
		if (page.headOffset() > this.nextOffset && this.condition != StreamCondition.LIMBO) {
			enterLimbo(page.headOffset());
		}
		if (this.condition == StreamCondition.LIMBO) {
			return search(page);
		}
		this.condition = StreamCondition.WHOLE;
		return foldAll(page);
	}

	private void enterLimbo(long headOffset) {
		this.listener.onNote(EventId.LOG_GAP, headOffset, "next offset " + this.nextOffset);
		this.condition = StreamCondition.LIMBO;
		this.caughtUp = false;
		this.scanOffset = headOffset;
		this.parts.clear();
	}

	private boolean search(LogPage page) {
		this.scanOffset = Math.max(this.scanOffset, page.headOffset());
		for (final LogEntry entry : page.entries()) {
			if (entry.offset() < this.scanOffset) {
				continue;
			}
			this.scanOffset = entry.offset() + 1;
			for (final LogRecord record : decode(entry)) {
				if (record.body() instanceof CheckpointPart part && !isNewer(record)
						&& load(record.writer(), part, page.headOffset())) {
					return true;
				}
			}
		}
		return true;
	}

	private boolean load(String writer, CheckpointPart part, long headOffset) {
		final Optional<byte[]> whole = this.parts.add(writer, part);
		// The records behind a checkpoint must still be there to be folded on top of it.
		return whole.isPresent() && part.throughOffset() + 1 >= headOffset
				&& takeOver(part.throughOffset(), whole.get()) && this.tracker.coverThrough(part.throughOffset());
	}

	/**
	 * Takes over a checkpoint from a peer, if it is not older than what is known.
	 * @param throughOffset the last offset folded into it
	 * @param stateBytes the checkpoint
	 * @param cover what the peer knew of the checkpoints on the stream
	 * @return whether it was taken over
	 */
	public boolean restore(long throughOffset, byte[] stateBytes, CheckpointCoverage cover) {
		final boolean taken = takeOver(throughOffset, stateBytes);
		if (taken) {
			// The peer stood at the end of the stream as far as anybody here can know.
			this.caughtUp = true;
			this.tracker.restore(cover);
		}
		return taken;
	}

	private boolean takeOver(long throughOffset, byte[] stateBytes) {
		final long restoredNext = throughOffset + 1;
		final boolean useless = this.condition == StreamCondition.WHOLE && restoredNext == this.nextOffset;
		if (restoredNext < this.nextOffset || useless || this.condition == StreamCondition.HALTED) {
			return false;
		}
		try {
			this.state = this.codec.decode(stateBytes);
		}
		catch (CorruptRecordException ex) {
			this.listener.onNote(EventId.RECORD_CORRUPT, throughOffset, "checkpoint: " + ex.getMessage());
			return false;
		}
		this.nextOffset = throughOffset + 1;
		this.condition = StreamCondition.WHOLE;
		this.parts.clear();
		this.listener.onNote(EventId.CHECKPOINT_LOADED, throughOffset, stateBytes.length + " bytes");
		return true;
	}

	private boolean foldAll(LogPage page) {
		for (final LogEntry entry : page.entries()) {
			if (entry.offset() < this.nextOffset) {
				continue;
			}
			if (entry.offset() > this.nextOffset) {
				this.listener.onNote(EventId.LOG_ENTRY_MISSING, this.nextOffset, "found offset " + entry.offset());
				return false;
			}
			final List<LogRecord> records = decode(entry);
			if (records.stream().anyMatch(StreamFollower::isNewer)) {
				this.listener.onNote(EventId.RECORD_UNSUPPORTED, entry.offset(), "folding stops here");
				this.condition = StreamCondition.HALTED;
				return false;
			}
			this.tracker.onEntry(entry.offset(), entry.appendedAtMillis());
			records.forEach((record) -> fold(entry.offset(), record));
			this.nextOffset = entry.offset() + 1;
		}
		this.caughtUp = this.caughtUp || this.nextOffset >= page.endOffset();
		return true;
	}

	private void fold(long offset, LogRecord record) {
		final ApplyResult<S> applied;
		try {
			applied = this.reducer.apply(this.state, offset, record);
		}
		catch (RuntimeException ex) {
			// The reducer is pure, so it fails on this record everywhere; a reader that
			// tried again for ever would never see the records behind it.
			this.listener.onNote(EventId.REDUCER_FAILED, offset, ex.toString());
			this.skippedEntries++;
			return;
		}
		this.state = applied.state();
		this.foldedRecords++;
		this.rejectedRecords += applied.isAccepted() ? 0 : 1;
		if (record.body() instanceof CheckpointPart part
				&& applied.rejection().filter((reason) -> reason == RejectReason.REPEATED).isEmpty()) {
			this.tracker.onPart(record.writer(), part);
		}
		this.listener.onFolded(offset, record, applied.rejection());
	}

	private static boolean isNewer(LogRecord record) {
		return record.schema() > LogRecord.CURRENT_SCHEMA;
	}

	private List<LogRecord> decode(LogEntry entry) {
		final byte[] payloadBytes = entry.payloadBytes();
		if (payloadBytes.length > MAX_ENTRY_BYTES) {
			this.listener.onNote(EventId.RECORD_OVERSIZE, entry.offset(), payloadBytes.length + " bytes");
			this.skippedEntries++;
			return List.of();
		}
		try {
			return RecordCodec.decode(payloadBytes);
		}
		catch (CorruptRecordException ex) {
			this.listener.onNote(EventId.RECORD_CORRUPT, entry.offset(), ex.getMessage());
			this.skippedEntries++;
			return List.of();
		}
	}

	/**
	 * Returns the folded state.
	 * @return the state after all records below {@link #nextOffset()}
	 */
	public S state() {
		return this.state;
	}

	/**
	 * Returns the next offset to fold.
	 * @return the offset
	 */
	public long nextOffset() {
		return this.nextOffset;
	}

	/**
	 * Returns what the state is worth.
	 * @return the condition
	 */
	public StreamCondition condition() {
		return this.condition;
	}

	/**
	 * Returns whether the stream's end was reached once since the state is whole.
	 * @return whether it was
	 */
	public boolean caughtUp() {
		return this.caughtUp;
	}

	/**
	 * Returns what the newest whole checkpoint covers.
	 * @return the cover
	 */
	public CheckpointCoverage cover() {
		return this.tracker.cover();
	}

	/**
	 * Returns how many records were folded.
	 * @return the number of records
	 */
	public long foldedRecords() {
		return this.foldedRecords;
	}

	/**
	 * Returns how many folded records changed nothing.
	 * @return the number of records
	 */
	public long rejectedRecords() {
		return this.rejectedRecords;
	}

	/**
	 * Returns how many entries or records were skipped as broken.
	 * @return the number of entries
	 */
	public long skippedEntries() {
		return this.skippedEntries;
	}

}
