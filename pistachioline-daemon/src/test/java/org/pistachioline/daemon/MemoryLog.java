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
public final class MemoryLog implements LogService {

	private final Map<String, List<byte[]>> entries = new HashMap<>();

	private final List<Runnable> waiting = new ArrayList<>();

	private final List<Runnable> watching = new ArrayList<>();

	private int lostAnswers;

	private int doubled;

	private boolean hidden;

	/**
	 * Lets the answers of the next appends be lost after they took effect.
	 * @param count how many
	 */
	public synchronized void loseAnswers(int count) {
		this.lostAnswers = count;
	}

	/**
	 * Lets the next appends land twice.
	 * @param count how many
	 */
	public synchronized void landTwice(int count) {
		this.doubled = count;
	}

	/**
	 * Withholds new entries from readers, or shows them again.
	 * @param hide whether to withhold them
	 */
	public void hide(boolean hide) {
		final List<Runnable> ready;
		synchronized (this) {
			this.hidden = hide;
			ready = List.copyOf(this.waiting);
			this.waiting.clear();
		}
		ready.forEach(Runnable::run);
	}

	/**
	 * Waits until a stream has some entries.
	 * @param stream the stream
	 * @param count how many entries
	 * @return completes with the entries
	 */
	public synchronized CompletableFuture<List<byte[]>> await(String stream, int count) {
		final CompletableFuture<List<byte[]>> done = new CompletableFuture<>();
		final Runnable check = () -> {
			if (of(stream).size() >= count) {
				done.complete(List.copyOf(of(stream)));
			}
		};
		this.watching.add(check);
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
		final List<byte[]> all = await(stream, 0).join();
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
			of(stream).add(payloadBytes);
			final long offset = of(stream).size() - 1L;
			if (this.doubled > 0) {
				this.doubled--;
				of(stream).add(payloadBytes);
			}
			if (this.lostAnswers > 0) {
				this.lostAnswers--;
				answer = CompletableFuture
					.failedFuture(new AppendException(AppendFailure.AMBIGUOUS, "answer lost", null));
			}
			else {
				answer = CompletableFuture.completedFuture(offset);
			}
			this.watching.forEach(Runnable::run);
			ready = List.copyOf(this.waiting);
			this.waiting.clear();
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
			final List<byte[]> all = of(stream);
			final boolean nothing = this.hidden || fromOffset >= all.size();
			if (nothing && waitMillis > 0) {
				this.waiting.add(() -> read(stream, fromOffset, waitMillis, page));
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

	private List<byte[]> of(String stream) {
		return this.entries.computeIfAbsent(stream, (key) -> new ArrayList<>());
	}

}
