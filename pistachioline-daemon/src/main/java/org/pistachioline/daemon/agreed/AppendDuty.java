package org.pistachioline.daemon.agreed;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.IntSupplier;

import org.apache.pekko.actor.typed.ActorSystem;

import org.pistachioline.adapters.platform.AppendException;
import org.pistachioline.adapters.platform.AppendFailure;
import org.pistachioline.adapters.platform.LogService;
import org.pistachioline.core.error.ErrorKind;
import org.pistachioline.core.error.PistachiolineException;
import org.pistachioline.core.event.EventId;
import org.pistachioline.core.record.LogRecord;
import org.pistachioline.core.record.RecordBody;
import org.pistachioline.core.state.RejectReason;
import org.pistachioline.core.state.WriterMark;
import org.pistachioline.core.state.WriterMarks;
import org.pistachioline.core.stream.AppendBudget;
import org.pistachioline.daemon.Lifecycle;
import org.pistachioline.daemon.duty.Duty;
import org.pistachioline.daemon.duty.DutyHandler;
import org.pistachioline.daemon.duty.Ring;
import org.pistachioline.daemon.event.Events;

/**
 * Appends this daemon's records, in batches and one append at a time on each stream.
 * <p>
 * The future of a record completes when it was folded here; {@link Outbox} has the rules
 * for lost answers. Appends are held to this daemon's share of what the log takes.
 */
public final class AppendDuty implements Lifecycle, DutyHandler<AppendDuty.Command>, FoldListener {

	private static final int RING_CAPACITY = 4096;

	private static final double BURST_APPENDS = 8;

	private static final Duration TICK_INTERVAL = Duration.ofMillis(50);

	private final String writer;

	private final LogService log;

	private final AppendBudget budget;

	private final IntSupplier daemonCount;

	private final Duty<Command> duty;

	private final Map<String, Outbox> outboxes = new HashMap<>();

	private final AppendCounts counts = new AppendCounts();

	private volatile boolean closed;

	/**
	 * Creates an appender.
	 * @param system the process's actor system
	 * @param log the platform's log
	 * @param writer this process's name as a writer, with its incarnation
	 * @param appendsPerSecond the appends a second of all daemons together
	 * @param daemons how many daemons share them
	 */
	public AppendDuty(ActorSystem<?> system, LogService log, String writer, double appendsPerSecond,
			IntSupplier daemons) {
		this.writer = writer;
		this.log = log;
		this.budget = new AppendBudget(appendsPerSecond, BURST_APPENDS, System.nanoTime());
		this.daemonCount = daemons;
		this.duty = new Duty<>(system, "append", RING_CAPACITY, TICK_INTERVAL, this);
	}

	/**
	 * Returns this process's name as a writer.
	 * @return the name
	 */
	public String writer() {
		return this.writer;
	}

	/**
	 * Returns what was counted.
	 * @return the counts
	 */
	public AppendCounts counts() {
		return this.counts;
	}

	/**
	 * Appends a record.
	 * @param stream the stream
	 * @param body what it proposes
	 * @return the verdict, once the record was folded here; fails with
	 * {@link ErrorKind#OVERLOADED} or {@link ErrorKind#REQUEST_TOO_LARGE} where nothing
	 * was appended, and with another kind where the verdict cannot be known
	 */
	public CompletableFuture<RecordVerdict> append(String stream, RecordBody body) {
		final CompletableFuture<RecordVerdict> verdict = new CompletableFuture<>();
		if (this.closed) {
			verdict.completeExceptionally(new PistachiolineException(ErrorKind.LEAVING));
		}
		else if (!this.duty.offer(new Command.Append(stream, body, verdict))) {
			verdict.completeExceptionally(new PistachiolineException(ErrorKind.OVERLOADED));
		}
		return verdict;
	}

	@Override
	public void onFolded(String stream, long offset, LogRecord record, Optional<RejectReason> rejection) {
		if (record.writer().equals(this.writer)) {
			this.duty.put(new Command.Folded(stream, record.sequence(), new RecordVerdict(offset, rejection)));
		}
	}

	/**
	 * Takes word that a stream's state was replaced by a checkpoint.
	 * @param stream the stream
	 * @param marks the writers' marks in it
	 */
	public void onRestored(String stream, WriterMarks marks) {
		final WriterMark mark = marks.marks().get(this.writer);
		if (mark != null) {
			this.duty.put(new Command.Restored(stream, mark.sequence()));
		}
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
		this.closed = true;
		this.duty.offer(new Command.Close());
		this.duty.stop();
	}

	@Override
	public void onMessage(Command command) {
		if (command instanceof Command.Append append) {
			onAppend(append);
		}
		else if (command instanceof Command.Folded folded) {
			outbox(folded.stream()).onFolded(folded.sequence(), folded.verdict());
		}
		else if (command instanceof Command.Restored restored) {
			outbox(restored.stream()).onRestored(restored.sequence());
		}
		else if (command instanceof Command.AppendCompleted answered) {
			onAppendCompleted(answered.stream(), answered.failure());
		}
		else if (command instanceof Command.Close) {
			this.outboxes.values().forEach(Outbox::stop);
		}
	}

	private void onAppend(Command.Append append) {
		outbox(append.stream()).add(append.body(), append.verdict());
		send(append.stream(), outbox(append.stream()));
	}

	@Override
	public void onTick() {
		this.outboxes.forEach(this::send);
	}

	private Outbox outbox(String stream) {
		return this.outboxes.computeIfAbsent(stream, (name) -> new Outbox(this.writer, System.nanoTime()));
	}

	private void send(String stream, Outbox outbox) {
		final long nowNanos = System.nanoTime();
		if (!outbox.isAppendDue(nowNanos)) {
			return;
		}
		if (!this.budget.tryAcquire(this.daemonCount.getAsInt(), nowNanos)) {
			this.counts.onThrottled();
			return;
		}
		this.counts.onAppend();
		this.log.append(stream, outbox.beginAppend())
			.whenComplete((offset, failure) -> this.duty.put(new Command.AppendCompleted(stream, failure)));
	}

	private void onAppendCompleted(String stream, Throwable failure) {
		final Optional<AppendFailure> kind = Optional.ofNullable(failure).map(AppendDuty::failureOf);
		kind.ifPresent((found) -> recordFailure(stream, found));
		outbox(stream).onAppendCompleted(kind, System.nanoTime(), ThreadLocalRandom.current().nextDouble());
		send(stream, outbox(stream));
	}

	private static AppendFailure failureOf(Throwable failure) {
		final Throwable cause = (failure instanceof CompletionException) ? failure.getCause() : failure;
		return (cause instanceof AppendException append) ? append.failure() : AppendFailure.AMBIGUOUS;
	}

	private void recordFailure(String stream, AppendFailure failure) {
		switch (failure) {
			case REFUSED -> this.counts.onRefused();
			case TOO_LARGE -> Events.log(EventId.APPEND_TOO_LARGE, "stream", stream);
			case AMBIGUOUS -> {
				this.counts.onAmbiguous();
				Events.log(EventId.APPEND_AMBIGUOUS, "stream", stream);
			}
		}
	}

	/**
	 * A message to the appender.
	 */
	sealed interface Command {

		/**
		 * Appends a record.
		 *
		 * @param stream the stream
		 * @param body what it proposes
		 * @param verdict to be completed
		 */
		record Append(String stream, RecordBody body, CompletableFuture<RecordVerdict> verdict) implements Command {
		}

		/**
		 * A record of ours was folded.
		 *
		 * @param stream the stream
		 * @param sequence its sequence
		 * @param verdict its verdict
		 */
		record Folded(String stream, long sequence, RecordVerdict verdict) implements Command {
		}

		/**
		 * A stream's state was replaced by a checkpoint.
		 *
		 * @param stream the stream
		 * @param sequence our mark in it
		 */
		record Restored(String stream, long sequence) implements Command {
		}

		/**
		 * The log answered an append, or did not.
		 *
		 * @param stream the stream
		 * @param failure why it failed; null where it succeeded
		 */
		record AppendCompleted(String stream, Throwable failure) implements Command {
		}

		/**
		 * Fails all that waits.
		 */
		record Close() implements Command {
		}

	}

}
