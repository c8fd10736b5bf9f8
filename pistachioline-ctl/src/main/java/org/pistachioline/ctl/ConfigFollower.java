package org.pistachioline.ctl;

import java.util.Optional;
import java.util.concurrent.CompletionException;

import org.pistachioline.adapters.codec.CorruptRecordException;
import org.pistachioline.adapters.codec.RecordCodec;
import org.pistachioline.adapters.platform.AppendException;
import org.pistachioline.adapters.platform.LogEntry;
import org.pistachioline.adapters.platform.LogPage;
import org.pistachioline.adapters.platform.LogService;
import org.pistachioline.core.record.LogRecord;
import org.pistachioline.core.state.Applied;
import org.pistachioline.core.state.ConfigReducer;
import org.pistachioline.core.state.ConfigState;
import org.pistachioline.core.state.RejectReason;

/**
 * Appends one record to the configuration stream and folds the stream until it is seen.
 */
final class ConfigFollower {

	private static final long POLL_MILLIS = 500;

	private final LogService log;

	private final String stream;

	private final ConfigReducer reducer = new ConfigReducer();

	private ConfigState state = ConfigState.EMPTY;

	private long nextOffset;

	ConfigFollower(LogService log, String stream) {
		this.log = log;
		this.stream = stream;
	}

	/**
	 * Appends a record and waits for its verdict.
	 * @param record the record
	 * @param entryBytes the record, encoded
	 * @param timeoutNanos how long to wait
	 * @return the verdict; empty where it is not known whether the record landed
	 */
	Optional<Verdict> append(LogRecord record, byte[] entryBytes, long timeoutNanos) {
		try {
			this.log.append(this.stream, entryBytes).join();
		}
		catch (CompletionException ex) {
			// After a lost answer the record may have landed, so we read on to learn it.
			if (!(ex.getCause() instanceof AppendException append) || !append.isAmbiguous()) {
				throw ex;
			}
		}
		final long begunAtNanos = System.nanoTime();
		while (System.nanoTime() - begunAtNanos < timeoutNanos) {
			final Optional<Verdict> verdict = readOn(record);
			if (verdict.isPresent()) {
				return verdict;
			}
		}
		return Optional.empty();
	}

	private Optional<Verdict> readOn(LogRecord wanted) {
		final LogPage page;
		try {
			page = this.log.read(this.stream, this.nextOffset, POLL_MILLIS).join();
		}
		catch (CompletionException ex) {
			return Optional.empty();
		}
		for (final LogEntry entry : page.entries()) {
			this.nextOffset = entry.offset() + 1;
			final Optional<Verdict> verdict = fold(entry, wanted);
			if (verdict.isPresent()) {
				return verdict;
			}
		}
		return Optional.empty();
	}

	private Optional<Verdict> fold(LogEntry entry, LogRecord wanted) {
		try {
			for (final LogRecord record : RecordCodec.decode(entry.payloadBytes())) {
				final Applied<ConfigState> applied = this.reducer.apply(this.state, entry.offset(), record);
				this.state = applied.state();
				if (record.writer().equals(wanted.writer()) && record.sequence() == wanted.sequence()) {
					return Optional.of(new Verdict(this.state, applied.rejection()));
				}
			}
		}
		catch (CorruptRecordException ex) {
			// Daemons skip such an entry too, so it changes nothing.
			return Optional.empty();
		}
		return Optional.empty();
	}

	/**
	 * What became of the record.
	 *
	 * @param state the state after it
	 * @param rejection why it changed nothing; empty where it was accepted
	 */
	record Verdict(ConfigState state, Optional<RejectReason> rejection) {
	}

}
