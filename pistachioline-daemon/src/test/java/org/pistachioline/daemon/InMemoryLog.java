package org.pistachioline.daemon;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.pistachioline.adapters.codec.CorruptRecordException;
import org.pistachioline.adapters.codec.RecordCodec;
import org.pistachioline.adapters.platform.AppendException;
import org.pistachioline.adapters.platform.AppendFailure;
import org.pistachioline.adapters.platform.LogEntry;
import org.pistachioline.adapters.platform.LogPage;
import org.pistachioline.adapters.platform.LogService;
import org.pistachioline.core.record.LogRecord;
import org.pistachioline.core.state.Reducer;

/**
 * The log in memory, with the faults that a test asks for.
 */
public final class InMemoryLog implements LogService {

	private final Map<String, List<byte[]>> entries = new HashMap<>();

	private final List<Runnable> pendingReads = new ArrayList<>();

	private final List<Runnable> entryWatchers = new ArrayList<>();

	private int responsesToLose;

	private int appendsToDuplicate;

	private boolean hidden;

	/**
	 * Lets the answers of the next appends be lost after they took effect.
	 * @param count how many
	 */
	public synchronized void loseResponses(int count) {
		this.responsesToLose = count;
	}

	/**
	 * Lets the next appends land twice.
	 * @param count how many
	 */
	public synchronized void duplicateAppends(int count) {
		this.appendsToDuplicate = count;
	}

	/**
	 * Withholds new entries from readers, or shows them again.
	 * @param hide whether to withhold them
	 */
	public void setHidden(boolean hide) {
		final List<Runnable> ready;
		synchronized (this) {
			this.hidden = hide;
			ready = List.copyOf(this.pendingReads);
			this.pendingReads.clear();
		}
		ready.forEach(Runnable::run);
	}

	/**
	 * Waits until a stream has some entries.
	 * @param stream the stream
	 * @param count how many entries
	 * @return completes with the entries
	 */
	public synchronized CompletableFuture<List<byte[]>> awaitEntries(String stream, int count) {
		final CompletableFuture<List<byte[]>> done = new CompletableFuture<>();
		final Runnable check = () -> {
			if (entriesOf(stream).size() >= count) {
				done.complete(List.copyOf(entriesOf(stream)));
			}
		};
		this.entryWatchers.add(check);
		check.run();
		return done;
	}

	/**
	 * Folds a stream from its start.
	 * @param <S> the type of state
	 * @param stream the stream
	 * @param reducer what folds it
	 * @return the state at its end
	 */
	public <S> S fold(String stream, Reducer<S> reducer) {
		S state = reducer.initial();
		final List<byte[]> all = awaitEntries(stream, 0).join();
		try {
			for (int offset = 0; offset < all.size(); offset++) {
				for (final LogRecord record : RecordCodec.decode(all.get(offset))) {
					state = reducer.apply(state, offset, record).state();
				}
			}
		}
		catch (CorruptRecordException ex) {
			throw new IllegalStateException(ex);
		}
		return state;
	}

	@Override
	public CompletableFuture<Long> append(String stream, byte[] payloadBytes) {
		final List<Runnable> ready;
		final CompletableFuture<Long> answer;
		synchronized (this) {
			entriesOf(stream).add(payloadBytes);
			final long offset = entriesOf(stream).size() - 1L;
			if (this.appendsToDuplicate > 0) {
				this.appendsToDuplicate--;
				entriesOf(stream).add(payloadBytes);
			}
			if (this.responsesToLose > 0) {
				this.responsesToLose--;
				answer = CompletableFuture
					.failedFuture(new AppendException(AppendFailure.AMBIGUOUS, "answer lost", null));
			}
			else {
				answer = CompletableFuture.completedFuture(offset);
			}
			this.entryWatchers.forEach(Runnable::run);
			ready = List.copyOf(this.pendingReads);
			this.pendingReads.clear();
		}
		ready.forEach(Runnable::run);
		return answer;
	}

	@Override
	public CompletableFuture<LogPage> read(String stream, long fromOffset, long waitMillis) {
		final CompletableFuture<LogPage> page = new CompletableFuture<>();
		read(stream, fromOffset, waitMillis, page);
		return page;
	}

	private void read(String stream, long fromOffset, long waitMillis, CompletableFuture<LogPage> page) {
		final LogPage found;
		synchronized (this) {
			final List<byte[]> all = entriesOf(stream);
			final boolean nothing = this.hidden || fromOffset >= all.size();
			if (nothing && waitMillis > 0) {
				this.pendingReads.add(() -> read(stream, fromOffset, waitMillis, page));
				return;
			}
			final List<LogEntry> read = new ArrayList<>();
			for (long offset = fromOffset; !nothing && offset < all.size(); offset++) {
				read.add(new LogEntry(offset, 0, all.get((int) offset)));
			}
			found = new LogPage(0, all.size(), read);
		}
		page.complete(found);
	}

	private List<byte[]> entriesOf(String stream) {
		return this.entries.computeIfAbsent(stream, (key) -> new ArrayList<>());
	}

}
