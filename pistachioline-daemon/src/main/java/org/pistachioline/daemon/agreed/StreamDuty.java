package org.pistachioline.daemon.agreed;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicReference;

import org.apache.pekko.actor.typed.ActorSystem;

import org.pistachioline.adapters.codec.CorruptRecordException;
import org.pistachioline.adapters.codec.RecordCodec;
import org.pistachioline.adapters.platform.LogEntry;
import org.pistachioline.adapters.platform.LogPage;
import org.pistachioline.adapters.platform.LogService;
import org.pistachioline.core.event.EventId;
import org.pistachioline.core.record.LogRecord;
import org.pistachioline.core.state.Applied;
import org.pistachioline.core.state.Reducer;
import org.pistachioline.daemon.Lifecycle;
import org.pistachioline.daemon.duty.Duty;
import org.pistachioline.daemon.duty.DutyHandler;
import org.pistachioline.daemon.event.Events;

/**
 * Follows one stream of the log and folds it.
 *
 * @param <S> the type of state
 */
public final class StreamDuty<S> implements Lifecycle, DutyHandler<StreamDuty.ReadResult> {

	private static final int RING_CAPACITY = 16;

	private static final long LONG_POLL_MILLIS = 2_000;

	private static final long FIRST_BACKOFF_MILLIS = 50;

	private static final long LONGEST_BACKOFF_MILLIS = 2_000;

	private static final Duration TICK = Duration.ofMillis(50);

	private final String stream;

	private final LogService log;

	private final Reducer<S> reducer;

	private final Duty<ReadResult> duty;

	private final List<FoldListener> listeners = new CopyOnWriteArrayList<>();

	private final List<Runnable> changeListeners = new CopyOnWriteArrayList<>();

	private final AtomicReference<StreamView<S>> view;

	private boolean reading;

	private long backoffMillis;

	private long retryAtNanos;

	private volatile boolean stopped;

	/**
	 * Creates a follower.
	 * @param system the process's actor system
	 * @param stream the stream
	 * @param log the platform's log
	 * @param reducer what folds its records
	 */
	public StreamDuty(ActorSystem<?> system, String stream, LogService log, Reducer<S> reducer) {
		this.stream = stream;
		this.log = log;
		this.reducer = reducer;
		this.duty = new Duty<>(system, "stream-" + stream, RING_CAPACITY, TICK, this);
		this.view = new AtomicReference<>(
				new StreamView<>(reducer.initial(), 0, false, System.nanoTime(), false, 0, 0));
	}

	/**
	 * Adds a listener to each folded record.
	 * @param listener the listener
	 */
	public void onFold(FoldListener listener) {
		this.listeners.add(listener);
	}

	/**
	 * Adds a listener to each new view.
	 * @param listener the listener; it runs on the stream's thread
	 */
	public void onChange(Runnable listener) {
		this.changeListeners.add(listener);
	}

	/**
	 * Returns the folded state.
	 * @return the newest view
	 */
	public StreamView<S> view() {
		return this.view.get();
	}

	/**
	 * Returns the stream's name.
	 * @return the name
	 */
	public String stream() {
		return this.stream;
	}

	@Override
	public void start() {
		this.duty.start();
	}

	@Override
	public void stop() {
		this.stopped = true;
		this.duty.stop();
	}

	@Override
	public void onTick() {
		if (!this.reading && System.nanoTime() - this.retryAtNanos >= 0) {
			readOn();
		}
	}

	private void readOn() {
		if (this.stopped) {
			return;
		}
		this.reading = true;
		final long askedAtNanos = System.nanoTime();
		// The first read does not wait, so that a start on an empty stream is quick.
		final long waitMillis = this.view.get().caughtUp() ? LONG_POLL_MILLIS : 0;
		this.log.read(this.stream, this.view.get().nextOffset(), waitMillis)
			.whenComplete((page, failure) -> this.duty.put(new ReadResult(page, failure, askedAtNanos)));
	}

	@Override
	public void onMessage(ReadResult result) {
		this.reading = false;
		if (result.failure() != null) {
			onFailure(result.failure());
			return;
		}
		final StreamView<S> before = this.view.get();
		final StreamView<S> after = fold(before, result);
		this.view.set(after);
		this.backoffMillis = 0;
		if (!before.logReachable()) {
			Events.log(EventId.LOG_AVAILABLE, "stream", this.stream, "next_offset", after.nextOffset());
		}
		final boolean changed = after.nextOffset() != before.nextOffset() || after.caughtUp() != before.caughtUp();
		if (changed) {
			this.changeListeners.forEach(Runnable::run);
		}
		readOn();
	}

	private void onFailure(Throwable failure) {
		final StreamView<S> before = this.view.get();
		if (before.logReachable() || this.backoffMillis == 0) {
			Events.log(EventId.LOG_UNAVAILABLE, failure, "stream", this.stream);
		}
		this.view.set(new StreamView<>(before.state(), before.nextOffset(), before.caughtUp(), before.readAtNanos(),
				false, before.foldedRecords(), before.rejectedRecords()));
		this.backoffMillis = Math.min(LONGEST_BACKOFF_MILLIS, Math.max(FIRST_BACKOFF_MILLIS, this.backoffMillis * 2));
		// Jitter keeps daemons from coming back to the log all at the same moment.
		final long waitMillis = this.backoffMillis / 2 + ThreadLocalRandom.current().nextLong(this.backoffMillis);
		this.retryAtNanos = System.nanoTime() + Duration.ofMillis(waitMillis).toNanos();
	}

	private StreamView<S> fold(StreamView<S> before, ReadResult result) {
		S state = before.state();
		long nextOffset = before.nextOffset();
		long folded = before.foldedRecords();
		long rejected = before.rejectedRecords();
		if (result.page().headOffset() > nextOffset) {
			Events.log(EventId.LOG_GAP, "stream", this.stream, "next_offset", nextOffset, "head_offset",
					result.page().headOffset());
			nextOffset = result.page().headOffset();
		}
		for (final LogEntry entry : result.page().entries()) {
			for (final LogRecord record : decode(entry)) {
				final Applied<S> applied = this.reducer.apply(state, entry.offset(), record);
				state = applied.state();
				folded++;
				rejected += applied.isAccepted() ? 0 : 1;
				this.listeners
					.forEach((listener) -> listener.onFolded(this.stream, entry.offset(), record, applied.rejection()));
			}
			nextOffset = entry.offset() + 1;
		}
		final boolean caughtUp = before.caughtUp() || nextOffset >= result.page().endOffset();
		return new StreamView<>(state, nextOffset, caughtUp, result.askedAtNanos(), true, folded, rejected);
	}

	private List<LogRecord> decode(LogEntry entry) {
		try {
			return RecordCodec.decode(entry.payloadBytes());
		}
		catch (CorruptRecordException ex) {
			Events.log(EventId.RECORD_CORRUPT, ex, "stream", this.stream, "offset", entry.offset());
			return List.of();
		}
	}

	/**
	 * What a read gave.
	 *
	 * @param page the page; null where the read failed
	 * @param failure why it failed
	 * @param askedAtNanos the monotonic time from before the read
	 */
	record ReadResult(LogPage page, Throwable failure, long askedAtNanos) {
	}

}
