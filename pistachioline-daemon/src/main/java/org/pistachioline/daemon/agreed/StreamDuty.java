package org.pistachioline.daemon.agreed;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;

import org.apache.pekko.actor.typed.ActorSystem;

import org.pistachioline.adapters.codec.SnapshotCodec;
import org.pistachioline.adapters.platform.LogPage;
import org.pistachioline.adapters.platform.LogService;
import org.pistachioline.adapters.stream.FollowerListener;
import org.pistachioline.adapters.stream.StreamFollower;
import org.pistachioline.core.event.EventId;
import org.pistachioline.core.record.LogRecord;
import org.pistachioline.core.state.Reducer;
import org.pistachioline.core.state.RejectReason;
import org.pistachioline.core.stream.Backoff;
import org.pistachioline.core.stream.StreamCondition;
import org.pistachioline.daemon.Lifecycle;
import org.pistachioline.daemon.duty.Duty;
import org.pistachioline.daemon.duty.DutyHandler;
import org.pistachioline.daemon.duty.Ring;
import org.pistachioline.daemon.event.Events;

/**
 * Follows one stream of the log: reads its pages, has a {@link StreamFollower} fold them
 * and publishes the resulting state.
 *
 * @param <S> the type of state
 */
public final class StreamDuty<S> implements Lifecycle, DutyHandler<StreamDuty.Command> {

	private static final int RING_CAPACITY = 16;

	private static final long LONG_POLL_MILLIS = 2_000;

	private static final long INITIAL_BACKOFF_MILLIS = 50;

	private static final long MAX_BACKOFF_MILLIS = 2_000;

	// The initial age of the state. A daemon that has never read the log must not count
	// as fresh, or each restart during an outage would begin the staleness bound anew.
	private static final long NEVER_READ_AGE_NANOS = Duration.ofDays(36_500).toNanos();

	private static final Duration TICK_INTERVAL = Duration.ofMillis(200);

	private final String stream;

	private final LogService log;

	private final SnapshotCodec<S> codec;

	private final StreamFollower<S> follower;

	private final Duty<Command> duty;

	private final Backoff backoff = new Backoff(INITIAL_BACKOFF_MILLIS, MAX_BACKOFF_MILLIS);

	private final List<FoldListener> listeners = new CopyOnWriteArrayList<>();

	private final List<Runnable> changeListeners = new CopyOnWriteArrayList<>();

	private final List<Consumer<S>> restoreListeners = new CopyOnWriteArrayList<>();

	private final AtomicReference<StreamView<S>> view;

	private boolean readInProgress;

	private boolean readFailing;

	private long retryAtNanos = System.nanoTime();

	private volatile boolean stopped;

	private volatile boolean following = true;

	private boolean mustCatchUp;

	/**
	 * Creates a follower with the reducer's initial state.
	 * @param system the process's actor system
	 * @param stream the stream
	 * @param log the platform's log
	 * @param reducer folds the records of the stream
	 * @param codec encodes and decodes checkpoints
	 */
	public StreamDuty(ActorSystem<?> system, String stream, LogService log, Reducer<S> reducer,
			SnapshotCodec<S> codec) {
		this.stream = stream;
		this.log = log;
		this.codec = codec;
		this.follower = new StreamFollower<>(reducer, codec, new Listener());
		this.duty = new Duty<>(system, "stream-" + stream, RING_CAPACITY, TICK_INTERVAL, this);
		this.view = new AtomicReference<>(viewOf(System.nanoTime() - NEVER_READ_AGE_NANOS, false, false));
	}

	/**
	 * Adds a listener that is called for each folded record.
	 * @param listener the listener
	 */
	public void onFold(FoldListener listener) {
		this.listeners.add(listener);
	}

	/**
	 * Adds a listener that is called when the next offset, the condition or the caught-up
	 * flag has changed.
	 * @param listener the listener; it runs on the stream's thread
	 */
	public void onChange(Runnable listener) {
		this.changeListeners.add(listener);
	}

	/**
	 * Adds a listener that receives each state that was restored from a checkpoint.
	 * @param listener the listener; it runs on the stream's thread
	 */
	public void onRestore(Consumer<S> listener) {
		this.restoreListeners.add(listener);
	}

	/**
	 * Returns the folded state with its condition; callable on any thread.
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

	/**
	 * Returns the complete state in its checkpoint encoding; callable on any thread.
	 * @return the snapshot; empty if the state is not complete
	 */
	public Optional<StreamSnapshot> snapshot() {
		final StreamView<S> current = this.view.get();
		if (!current.complete()) {
			return Optional.empty();
		}
		return Optional
			.of(new StreamSnapshot(current.nextOffset() - 1, this.codec.encode(current.state()), current.coverage()));
	}

	/**
	 * Restores a checkpoint received from a peer; one older than the current state is
	 * ignored.
	 * @param snapshot the checkpoint
	 */
	public void restore(StreamSnapshot snapshot) {
		this.duty.offer(new Command.Restore(snapshot));
	}

	/**
	 * Sets whether the stream is followed. While it is not, nothing is read; after it is
	 * followed again, it counts as caught up only once its end has been reached again.
	 * @param following whether to follow the stream
	 */
	public void setFollowing(boolean following) {
		this.following = following;
	}

	@Override
	public void start() {
		this.duty.start();
	}

	@Override
	public List<Ring<?>> rings() {
		return List.of(this.duty.ring());
	}

	@Override
	public void stop() {
		this.stopped = true;
		this.duty.stop();
	}

	@Override
	public void onTick() {
		if (!this.readInProgress && System.nanoTime() - this.retryAtNanos >= 0) {
			readNext();
		}
	}

	private void readNext() {
		if (this.stopped || this.follower.condition() == StreamCondition.HALTED) {
			return;
		}
		if (!this.following) {
			pause();
			return;
		}
		this.readInProgress = true;
		final long requestedAtNanos = System.nanoTime();
		// The first read does not long-poll, so that a start on an empty stream is quick.
		final boolean atEnd = this.view.get().caughtUp() || this.view.get().needsCheckpoint();
		this.log.read(this.stream, this.follower.readOffset(), atEnd ? LONG_POLL_MILLIS : 0)
			.whenComplete((page, failure) -> this.duty.put(new Command.ReadCompleted(page, failure, requestedAtNanos)));
	}

	private void pause() {
		if (!this.mustCatchUp) {
			this.mustCatchUp = true;
			final StreamView<S> before = this.view.get();
			publish(before, viewOf(before.readAtNanos(), before.logReachable(), false));
		}
	}

	@Override
	public void onMessage(Command command) {
		if (command instanceof Command.ReadCompleted read) {
			onReadCompleted(read);
		}
		else if (command instanceof Command.Restore restore) {
			onRestore(restore.snapshot());
		}
	}

	private void onReadCompleted(Command.ReadCompleted read) {
		this.readInProgress = false;
		if (read.failure() != null) {
			onFailure(read.failure());
			return;
		}
		final StreamView<S> before = this.view.get();
		final boolean mayContinue = this.follower.onPage(read.page());
		final boolean atEnd = this.follower.readOffset() >= read.page().endOffset();
		this.mustCatchUp = this.mustCatchUp && !atEnd;
		final boolean inLimbo = this.follower.condition() == StreamCondition.LIMBO;
		publish(before, viewOf((atEnd && mayContinue) ? read.requestedAtNanos() : before.readAtNanos(), true,
				inLimbo && atEnd));
		if (mayContinue) {
			this.backoff.reset();
			this.readFailing = false;
			readNext();
		}
		else {
			backOff();
		}
	}

	private void publish(StreamView<S> before, StreamView<S> after) {
		this.view.set(after);
		if (after.logReachable() && !before.logReachable()) {
			Events.log(EventId.LOG_AVAILABLE, "stream", this.stream, "next_offset", after.nextOffset());
		}
		if (after.nextOffset() != before.nextOffset() || after.caughtUp() != before.caughtUp()
				|| after.condition() != before.condition()) {
			this.changeListeners.forEach(Runnable::run);
		}
	}

	private void onFailure(Throwable failure) {
		final StreamView<S> before = this.view.get();
		if (!this.readFailing) {
			Events.log(EventId.LOG_UNAVAILABLE, failure, "stream", this.stream);
		}
		this.readFailing = true;
		this.view.set(viewOf(before.readAtNanos(), false, !before.complete()));
		backOff();
	}

	private void backOff() {
		final long waitMillis = this.backoff.nextDelayMillis(ThreadLocalRandom.current().nextDouble());
		this.retryAtNanos = System.nanoTime() + Duration.ofMillis(waitMillis).toNanos();
	}

	private void onRestore(StreamSnapshot snapshot) {
		if (this.follower.restore(snapshot.throughOffset(), snapshot.stateBytes(), snapshot.coverage())) {
			final StreamView<S> before = this.view.get();
			publish(before, viewOf(before.readAtNanos(), before.logReachable(), false));
		}
	}

	private StreamView<S> viewOf(long readAtNanos, boolean logReachable, boolean wantsCheckpoint) {
		return new StreamView<>(this.follower.state(), this.follower.nextOffset(), this.follower.condition(),
				this.follower.caughtUp() && !this.mustCatchUp, readAtNanos, logReachable, wantsCheckpoint,
				this.follower.cover(), this.follower.foldedRecords(), this.follower.rejectedRecords(),
				this.follower.skippedEntries());
	}

	/**
	 * Passes the follower's events on to the listeners and to the event log.
	 */
	private final class Listener implements FollowerListener {

		@Override
		public void onFolded(long offset, LogRecord record, Optional<RejectReason> rejection) {
			StreamDuty.this.listeners
				.forEach((listener) -> listener.onFolded(StreamDuty.this.stream, offset, record, rejection));
		}

		@Override
		public void onNote(EventId event, long offset, String detail) {
			Events.log(event, "stream", StreamDuty.this.stream, "offset", offset, "detail", detail);
			if (event == EventId.CHECKPOINT_LOADED) {
				StreamDuty.this.restoreListeners
					.forEach((listener) -> listener.accept(StreamDuty.this.follower.state()));
			}
		}

	}

	/**
	 * A message on the ring of the follower.
	 */
	sealed interface Command {

		/**
		 * A read of the log succeeded or failed.
		 *
		 * @param page the page; null if the read failed
		 * @param failure the cause of the failure; null if the read succeeded
		 * @param requestedAtNanos the monotonic time when the read began
		 */
		record ReadCompleted(LogPage page, Throwable failure, long requestedAtNanos) implements Command {
		}

		/**
		 * A checkpoint was received from a peer.
		 *
		 * @param snapshot the checkpoint
		 */
		record Restore(StreamSnapshot snapshot) implements Command {
		}

	}

}
