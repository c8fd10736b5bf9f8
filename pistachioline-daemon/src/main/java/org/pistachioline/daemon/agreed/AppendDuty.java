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
 * Appends this daemon's records to the log in batches, with at most one append in flight
 * on each stream.
 * <p>
 * The future of a record completes once the record has been folded here; {@link Outbox}
 * defines how lost responses are handled. Appends are limited to this daemon's share of
 * the log's append rate.
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
	 * Creates an appender with no pending records.
	 * @param system the process's actor system
	 * @param log the platform's log
	 * @param writer the writer id of this process, including its incarnation
	 * @param appendsPerSecond the append rate that all daemons share
	 * @param daemonCount supplies how many daemons share that rate
	 */
	public AppendDuty(ActorSystem<?> system, LogService log, String writer, double appendsPerSecond,
			IntSupplier daemonCount) {
		this.writer = writer;
		this.log = log;
		this.budget = new AppendBudget(appendsPerSecond, BURST_APPENDS, System.nanoTime());
		this.daemonCount = daemonCount;
		this.duty = new Duty<>(system, "append", RING_CAPACITY, TICK_INTERVAL, this);
	}

	/**
	 * Returns the id under which this process writes to the log.
	 * @return the writer id
	 */
	public String writer() {
		return this.writer;
	}

	/**
	 * Returns the counts of appends for metrics.
	 * @return the counts
	 */
	public AppendCounts counts() {
		return this.counts;
	}

	/**
	 * Appends a record.
	 * @param stream the stream
	 * @param body the content of the record
	 * @return the verdict, once the record has been folded here; fails with
	 * {@link ErrorKind#OVERLOADED} or {@link ErrorKind#REQUEST_TOO_LARGE} if nothing was
	 * appended, and with another kind if the verdict is unknown
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
	 * Fails the pending records that a restored checkpoint covers, as their verdicts are
	 * lost.
	 * @param stream the stream
	 * @param marks the last folded sequence of each writer in the checkpoint
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
		else if (command instanceof Command.AppendCompleted completed) {
			onAppendCompleted(completed.stream(), completed.failure());
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
		kind.ifPresent((appendFailure) -> recordFailure(stream, appendFailure));
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
	 * A message on the ring of the appender.
	 */
	sealed interface Command {

		/**
		 * Appends a record.
		 *
		 * @param stream the stream
		 * @param body the content of the record
		 * @param verdict completed with the verdict on the record
		 */
		record Append(String stream, RecordBody body, CompletableFuture<RecordVerdict> verdict) implements Command {
		}

		/**
		 * A record of this daemon was folded.
		 *
		 * @param stream the stream
		 * @param sequence the sequence of the record
		 * @param verdict the verdict on the record
		 */
		record Folded(String stream, long sequence, RecordVerdict verdict) implements Command {
		}

		/**
		 * A stream's state was replaced by a checkpoint.
		 *
		 * @param stream the stream
		 * @param sequence the last sequence of this writer in the checkpoint
		 */
		record Restored(String stream, long sequence) implements Command {
		}

		/**
		 * An append succeeded or failed.
		 *
		 * @param stream the stream
		 * @param failure the cause of the failure; null if the append succeeded
		 */
		record AppendCompleted(String stream, Throwable failure) implements Command {
		}

		/**
		 * The process stops, so all pending records fail.
		 */
		record Close() implements Command {
		}

	}

}
