package org.pistachioline.daemon.agreed;

import java.io.ByteArrayOutputStream;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.pistachioline.adapters.codec.RecordCodec;
import org.pistachioline.adapters.platform.AppendFailure;
import org.pistachioline.adapters.stream.StreamFollower;
import org.pistachioline.core.error.ErrorKind;
import org.pistachioline.core.error.PistachiolineException;
import org.pistachioline.core.record.LogRecord;
import org.pistachioline.core.record.RecordBody;
import org.pistachioline.core.state.RejectReason;
import org.pistachioline.core.stream.Backoff;

/**
 * Queue of this daemon's records that wait to be appended to one stream, or to be folded
 * after their append.
 * <p>
 * Records are sent oldest first, with one append in flight. After a lost response the
 * same records are sent again with the same sequences, unless the stream has shown them
 * in the meantime. So the log holds each record at least once and in order, and the
 * reducer ignores duplicates. If a later record is folded before an earlier one, every
 * daemon has skipped the earlier one and it can never take effect, so its future fails.
 * The class has no thread and no clock of its own.
 */
public final class Outbox {

	/** The maximum number of records in one append. */
	static final int MAX_BATCH_RECORDS = 256;

	/** The maximum size of one append, half of the log's limit. */
	static final int MAX_BATCH_BYTES = StreamFollower.MAX_ENTRY_BYTES / 2;

	/** The maximum number of records that wait to be appended or folded. */
	static final int MAX_PENDING_RECORDS = 4096;

	/** The maximum total size of the records that wait to be appended. */
	static final int MAX_UNSENT_BYTES = 32 * 1024 * 1024;

	private static final long INITIAL_BACKOFF_MILLIS = 50;

	private static final long MAX_BACKOFF_MILLIS = 2_000;

	private final String writer;

	private final Deque<Unsent> unsent = new ArrayDeque<>();

	private final NavigableMap<Long, CompletableFuture<RecordVerdict>> pending = new TreeMap<>();

	private final Backoff backoff = new Backoff(INITIAL_BACKOFF_MILLIS, MAX_BACKOFF_MILLIS);

	private long nextSequence = 1;

	private long unsentBytes;

	private boolean appendInFlight;

	private int maxBatchRecords = MAX_BATCH_RECORDS;

	private long lastInFlightSequence;

	private int inFlightRecords;

	private long retryAtNanos;

	/**
	 * Creates an empty outbox.
	 * @param writer the writer id of this process
	 * @param nowNanos the monotonic time
	 */
	public Outbox(String writer, long nowNanos) {
		this.writer = writer;
		this.retryAtNanos = nowNanos;
	}

	/**
	 * Queues a record, or fails its future if the queue is full or the record is too
	 * large.
	 * @param body the content of the record
	 * @param verdict completed with the verdict on the record
	 */
	public void add(RecordBody body, CompletableFuture<RecordVerdict> verdict) {
		if (this.pending.size() >= MAX_PENDING_RECORDS || this.unsentBytes >= MAX_UNSENT_BYTES) {
			verdict.completeExceptionally(new PistachiolineException(ErrorKind.OVERLOADED));
			return;
		}
		final long sequence = this.nextSequence;
		final byte[] recordBytes = RecordCodec
			.encode(List.of(new LogRecord(this.writer, sequence, LogRecord.CURRENT_SCHEMA, body)));
		if (recordBytes.length > StreamFollower.MAX_ENTRY_BYTES) {
			// Every reader skips an entry over the limit, so it must not be appended at
			// all.
			verdict.completeExceptionally(new PistachiolineException(ErrorKind.REQUEST_TOO_LARGE));
			return;
		}
		this.nextSequence++;
		this.unsent.addLast(new Unsent(sequence, recordBytes));
		this.unsentBytes += recordBytes.length;
		this.pending.put(sequence, verdict);
	}

	/**
	 * Returns whether records wait, no append is in flight and the backoff has passed.
	 * @param nowNanos the monotonic time
	 * @return whether an append is due
	 */
	public boolean isAppendDue(long nowNanos) {
		return !this.appendInFlight && !this.unsent.isEmpty() && nowNanos - this.retryAtNanos >= 0;
	}

	/**
	 * Starts an append of the oldest records that fit into one batch.
	 * @return the entry to append
	 */
	public byte[] beginAppend() {
		final ByteArrayOutputStream entry = new ByteArrayOutputStream();
		int records = 0;
		// An encoded batch equals the concatenation of its separately encoded records.
		for (final Unsent next : this.unsent) {
			final boolean full = records >= this.maxBatchRecords
					|| entry.size() + next.recordBytes().length > MAX_BATCH_BYTES;
			if (full && records > 0) {
				break;
			}
			entry.writeBytes(next.recordBytes());
			this.lastInFlightSequence = next.sequence();
			records++;
		}
		this.appendInFlight = true;
		this.inFlightRecords = records;
		return entry.toByteArray();
	}

	/**
	 * Handles the outcome of the append in flight.
	 * @param failure what is known about a failed append; empty if it succeeded
	 * @param nowNanos the monotonic time
	 * @param jitterRatio a random number from 0 to 1 that spreads the retries
	 */
	public void onAppendCompleted(Optional<AppendFailure> failure, long nowNanos, double jitterRatio) {
		this.appendInFlight = false;
		if (failure.isEmpty()) {
			removeUnsentThrough(this.lastInFlightSequence);
			this.backoff.reset();
			this.maxBatchRecords = MAX_BATCH_RECORDS;
			return;
		}
		if (failure.get() == AppendFailure.TOO_LARGE) {
			onTooLarge();
			return;
		}
		this.retryAtNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(this.backoff.nextDelayMillis(jitterRatio));
	}

	// Halves the batch, or fails a single record. Otherwise an entry that the log never
	// accepts would block all records behind it.
	private void onTooLarge() {
		if (this.inFlightRecords > 1) {
			this.maxBatchRecords = this.inFlightRecords / 2;
			return;
		}
		final CompletableFuture<RecordVerdict> verdict = this.pending.remove(this.lastInFlightSequence);
		removeUnsentThrough(this.lastInFlightSequence);
		if (verdict != null) {
			verdict.completeExceptionally(new PistachiolineException(ErrorKind.REQUEST_TOO_LARGE));
		}
	}

	private void removeUnsentThrough(long sequence) {
		while (!this.unsent.isEmpty() && this.unsent.peekFirst().sequence() <= sequence) {
			this.unsentBytes -= this.unsent.removeFirst().recordBytes().length;
		}
	}

	/**
	 * Completes a record of this writer after it was folded.
	 * @param sequence the sequence of the record
	 * @param verdict the verdict on the record
	 */
	public void onFolded(long sequence, RecordVerdict verdict) {
		if (verdict.rejection().filter((reason) -> reason == RejectReason.REPEATED).isPresent()) {
			return;
		}
		// A folded record is stored, whatever the outcome of its append was.
		removeUnsentThrough(sequence);
		final CompletableFuture<RecordVerdict> future = this.pending.remove(sequence);
		failThrough(sequence, ErrorKind.INTERNAL);
		if (future != null) {
			future.complete(verdict);
		}
	}

	/**
	 * Fails the records that a restored checkpoint covers, as their verdicts can no
	 * longer be known.
	 * @param sequence the last sequence of this writer in the checkpoint
	 */
	public void onRestored(long sequence) {
		removeUnsentThrough(sequence);
		failThrough(sequence, ErrorKind.INTERNAL);
	}

	/**
	 * Fails all pending records because the process stops.
	 */
	public void stop() {
		failThrough(Long.MAX_VALUE, ErrorKind.LEAVING);
		this.unsent.clear();
		this.unsentBytes = 0;
	}

	private void failThrough(long sequence, ErrorKind kind) {
		final NavigableMap<Long, CompletableFuture<RecordVerdict>> failed = this.pending.headMap(sequence, true);
		final List<CompletableFuture<RecordVerdict>> futures = new ArrayList<>(failed.values());
		failed.clear();
		futures.forEach((future) -> future.completeExceptionally(new PistachiolineException(kind)));
	}

	/**
	 * Returns how many records wait to be appended or folded.
	 * @return the number of records
	 */
	public int pending() {
		return this.pending.size();
	}

	private record Unsent(long sequence, byte[] recordBytes) {
	}

}
