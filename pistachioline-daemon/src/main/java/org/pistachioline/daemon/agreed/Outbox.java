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
 * The records of this daemon that wait to be appended to one stream, or to be folded.
 * <p>
 * It sends the oldest records first, one append at a time, and after a lost answer the
 * same records with the same sequences again, unless the stream has shown them meanwhile.
 * So the log holds each record at least once and in order, and the reducer drops all but
 * the first. A record whose later neighbour was folded while it was not has been skipped
 * on all daemons and never takes effect, so its future fails then. It has no thread and
 * no clock.
 */
public final class Outbox {

	/** The most records in one append. */
	static final int MAX_BATCH_RECORDS = 256;

	/** The most bytes in one append, half of the log's limit. */
	static final int MAX_BATCH_BYTES = StreamFollower.MAX_ENTRY_BYTES / 2;

	/** The most records that wait to be appended or folded. */
	static final int MAX_PENDING_RECORDS = 4096;

	/** The most bytes that wait to be appended. */
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
	 * @param writer this process's name as a writer
	 * @param nowNanos the monotonic time
	 */
	public Outbox(String writer, long nowNanos) {
		this.writer = writer;
		this.retryAtNanos = nowNanos;
	}

	/**
	 * Takes a record, or fails its future where it cannot be taken.
	 * @param body what it proposes
	 * @param verdict to be completed
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
			// All readers skip such an entry, so it must not even be tried.
			verdict.completeExceptionally(new PistachiolineException(ErrorKind.REQUEST_TOO_LARGE));
			return;
		}
		this.nextSequence++;
		this.unsent.addLast(new Unsent(sequence, recordBytes));
		this.unsentBytes += recordBytes.length;
		this.pending.put(sequence, verdict);
	}

	/**
	 * Returns whether an append is wanted now.
	 * @param nowNanos the monotonic time
	 * @return whether it is
	 */
	public boolean isAppendDue(long nowNanos) {
		return !this.appendInFlight && !this.unsent.isEmpty() && nowNanos - this.retryAtNanos >= 0;
	}

	/**
	 * Begins an append.
	 * @return the entry to append
	 */
	public byte[] beginAppend() {
		final ByteArrayOutputStream entry = new ByteArrayOutputStream();
		int records = 0;
		// A batch in this form is the same bytes as its records encoded one by one.
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
	 * Takes the answer to the append.
	 * @param failure what a failed append left on the log; empty where it succeeded
	 * @param nowNanos the monotonic time
	 * @param jitterRatio a random number from 0 to 1
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

	// Without this an entry that the log never takes would block all behind it.
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
	 * Takes word that a record of this writer was folded.
	 * @param sequence its sequence
	 * @param verdict its verdict
	 */
	public void onFolded(long sequence, RecordVerdict verdict) {
		if (verdict.rejection().filter((reason) -> reason == RejectReason.REPEATED).isPresent()) {
			return;
		}
		// What was folded has landed, whatever became of the append's answer.
		removeUnsentThrough(sequence);
		final CompletableFuture<RecordVerdict> future = this.pending.remove(sequence);
		failThrough(sequence, ErrorKind.INTERNAL);
		if (future != null) {
			future.complete(verdict);
		}
	}

	/**
	 * Takes word that the state was replaced by a checkpoint in which the writer's mark
	 * stands; the verdicts on records up to it cannot be known any more.
	 * @param sequence the writer's mark
	 */
	public void onRestored(long sequence) {
		removeUnsentThrough(sequence);
		failThrough(sequence, ErrorKind.INTERNAL);
	}

	/**
	 * Fails all that waits, as the process stops.
	 */
	public void stop() {
		failThrough(Long.MAX_VALUE, ErrorKind.LEAVING);
		this.unsent.clear();
		this.unsentBytes = 0;
	}

	private void failThrough(long sequence, ErrorKind kind) {
		final NavigableMap<Long, CompletableFuture<RecordVerdict>> lost = this.pending.headMap(sequence, true);
		final List<CompletableFuture<RecordVerdict>> futures = new ArrayList<>(lost.values());
		lost.clear();
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
