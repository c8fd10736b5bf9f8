package org.pistachioline.ctl;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionException;

import org.pistachioline.adapters.codec.ConfigSnapshotCodec;
import org.pistachioline.adapters.codec.RecordCodec;
import org.pistachioline.adapters.platform.AppendException;
import org.pistachioline.adapters.platform.LogService;
import org.pistachioline.adapters.stream.FollowerListener;
import org.pistachioline.adapters.stream.StreamFollower;
import org.pistachioline.core.event.EventId;
import org.pistachioline.core.record.LogRecord;
import org.pistachioline.core.state.ConfigReducer;
import org.pistachioline.core.state.ConfigState;
import org.pistachioline.core.state.RejectReason;
import org.pistachioline.core.stream.StreamCondition;

/**
 * Appends one record to the configuration stream and folds the stream until it is seen.
 * <p>
 * After a lost answer it appends the same record again now and then while it reads on:
 * the reducer drops all but the first that lands. It folds as daemons do, checkpoints
 * included, so that it tells the verdict that holds there.
 */
final class ConfigFollower {

	private static final long POLL_MILLIS = 500;

	private static final int READS_BETWEEN_APPENDS = 4;

	private final LogService log;

	private final String stream;

	private final StreamFollower<ConfigState> follower;

	private LogRecord wanted;

	private Verdict verdict;

	ConfigFollower(LogService log, String stream) {
		this.log = log;
		this.stream = stream;
		this.follower = new StreamFollower<>(new ConfigReducer(), new ConfigSnapshotCodec(), new Listener());
	}

	/**
	 * Appends a record and waits for its verdict.
	 * @param record the record
	 * @param timeoutNanos how long to wait
	 * @return the verdict; empty where it is not known whether the record landed
	 */
	Optional<Verdict> append(LogRecord record, long timeoutNanos) {
		this.wanted = record;
		final byte[] entryBytes = RecordCodec.encode(List.of(record));
		boolean answered = tryAppend(entryBytes, false);
		final long begunAtNanos = System.nanoTime();
		int reads = 0;
		while (System.nanoTime() - begunAtNanos < timeoutNanos && !isBeyondUs()) {
			readOn();
			if (this.verdict != null) {
				return Optional.of(this.verdict);
			}
			reads++;
			if (!answered && reads % READS_BETWEEN_APPENDS == 0) {
				answered = tryAppend(entryBytes, true);
			}
		}
		return Optional.empty();
	}

	// Once one append may have landed, a refusal of the next says nothing about it.
	private boolean tryAppend(byte[] entryBytes, boolean mayHaveLanded) {
		try {
			this.log.append(this.stream, entryBytes).join();
			return true;
		}
		catch (CompletionException ex) {
			final boolean ambiguous = ex.getCause() instanceof AppendException append && append.isAmbiguous();
			if (!ambiguous && !mayHaveLanded) {
				throw ex;
			}
			return false;
		}
	}

	private boolean isBeyondUs() {
		return this.follower.condition() == StreamCondition.HALTED;
	}

	private void readOn() {
		try {
			this.follower.onPage(this.log.read(this.stream, this.follower.readOffset(), POLL_MILLIS).join());
		}
		catch (CompletionException ex) {
			// The log may be down for a moment; the time-out ends the wait.
			return;
		}
	}

	/**
	 * What became of the record.
	 *
	 * @param state the state after it
	 * @param rejection why it changed nothing; empty where it was accepted
	 */
	record Verdict(ConfigState state, Optional<RejectReason> rejection) {
	}

	/**
	 * Watches for the record.
	 */
	private final class Listener implements FollowerListener {

		@Override
		public void onFolded(long offset, LogRecord record, Optional<RejectReason> rejection) {
			final LogRecord ours = ConfigFollower.this.wanted;
			if (ConfigFollower.this.verdict == null && record.writer().equals(ours.writer())
					&& record.sequence() == ours.sequence()) {
				ConfigFollower.this.verdict = new Verdict(ConfigFollower.this.follower.state(), rejection);
			}
		}

		@Override
		public void onNote(EventId event, long offset, String detail) {
		}

	}

}
