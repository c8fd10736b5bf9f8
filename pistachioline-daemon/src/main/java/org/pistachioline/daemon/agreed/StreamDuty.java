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
 * Follows one stream of the log: reads its pages, lets a {@link StreamFollower} fold them
 * and publishes what came of it.
 *
 * @param <S> the type of state
 */
public final class StreamDuty<S> implements Lifecycle, DutyHandler<StreamDuty.Command> {

	private static final int RING_CAPACITY = 16;

	private static final long LONG_POLL_MILLIS = 2_000;

	private static final long INITIAL_BACKOFF_MILLIS = 50;

	private static final long MAX_BACKOFF_MILLIS = 2_000;

	// A daemon that never read the log must not pass for one that just did: each new
	// start
	// during an outage would begin the staleness bound afresh.
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
	 * Creates a follower.
	 * @param system the process's actor system
	 * @param stream the stream
	 * @param log the platform's log
	 * @param reducer what folds its records
	 * @param codec what reads and writes its checkpoints
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
	 * Adds a listener to each state that a checkpoint brought in place of folded records.
	 * @param listener the listener; it runs on the stream's thread
	 */
	public void onRestore(Consumer<S> listener) {
		this.restoreListeners.add(listener);
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

	/**
	 * Returns the whole state in its checkpoint form; it may be called on any thread.
	 * @return the snapshot; empty where the state is not whole
	 */
	public Optional<StreamSnapshot> snapshot() {
		final StreamView<S> now = this.view.get();
		if (!now.complete()) {
			return Optional.empty();
		}
		return Optional.of(new StreamSnapshot(now.nextOffset() - 1, this.codec.encode(now.state()), now.coverage()));
	}

	/**
	 * Offers a checkpoint that a peer gave; an older one than what is known is dropped.
	 * @param snapshot the checkpoint
	 */
	public void restore(StreamSnapshot snapshot) {
		this.duty.offer(new Command.Restore(snapshot));
	}

	/**
	 * Says whether the stream is followed. One that is not reads nothing; followed again,
	 * it counts as caught up only once it has reached the end anew.
	 * @param follow whether to follow
	 */
	public void setFollowing(boolean follow) {
		this.following = follow;
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
		final long askedAtNanos = System.nanoTime();
		// The first read does not wait, so that a start on an empty stream is quick.
		final boolean atEnd = this.view.get().caughtUp() || this.view.get().needsCheckpoint();
		this.log.read(this.stream, this.follower.readOffset(), atEnd ? LONG_POLL_MILLIS : 0)
			.whenComplete((page, failure) -> this.duty.put(new Command.ReadCompleted(page, failure, askedAtNanos)));
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
		final boolean readOn = this.follower.onPage(read.page());
		final boolean atEnd = this.follower.readOffset() >= read.page().endOffset();
		this.mustCatchUp = this.mustCatchUp && !atEnd;
		final boolean inLimbo = this.follower.condition() == StreamCondition.LIMBO;
		publish(before,
				viewOf((atEnd && readOn) ? read.requestedAtNanos() : before.readAtNanos(), true, inLimbo && atEnd));
		if (readOn) {
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
	 * Hands on what the follower tells.
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
	 * A message to the follower.
	 */
	sealed interface Command {

		/**
		 * What a read gave.
		 *
		 * @param page the page; null where the read failed
		 * @param failure why it failed
		 * @param requestedAtNanos the monotonic time from before the read
		 */
		record ReadCompleted(LogPage page, Throwable failure, long requestedAtNanos) implements Command {
		}

		/**
		 * A checkpoint from a peer.
		 *
		 * @param snapshot the checkpoint
		 */
		record Restore(StreamSnapshot snapshot) implements Command {
		}

	}

}
