package org.pistachioline.daemon.agreed;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ThreadLocalRandom;

import org.apache.pekko.actor.typed.ActorSystem;

import org.pistachioline.adapters.codec.RecordCodec;
import org.pistachioline.adapters.platform.AppendException;
import org.pistachioline.adapters.platform.LogService;
import org.pistachioline.core.error.ErrorKind;
import org.pistachioline.core.error.PistachiolineException;
import org.pistachioline.core.event.EventId;
import org.pistachioline.core.record.LogRecord;
import org.pistachioline.core.record.RecordBody;
import org.pistachioline.core.state.RejectReason;
import org.pistachioline.daemon.Lifecycle;
import org.pistachioline.daemon.duty.Duty;
import org.pistachioline.daemon.duty.DutyHandler;
import org.pistachioline.daemon.event.Events;

/**
 * Appends this daemon's records, in batches and one append at a time on each stream.
 * <p>
 * An append whose answer was lost is sent again with the same sequences until the log
 * answers or the records are seen on the stream: all but the first to land are dropped by
 * the reducer as repeats. The future of a record completes when it was folded here.
 */
public final class AppendDuty implements Lifecycle, DutyHandler<AppendDuty.Command>, FoldListener {

	private static final int RING_CAPACITY = 4096;

	private static final int MAX_BATCH = 256;

	private static final int MAX_PENDING = 4096;

	private static final Duration TICK = Duration.ofMillis(20);

	private static final long FIRST_BACKOFF_MILLIS = 50;

	private static final long LONGEST_BACKOFF_MILLIS = 2_000;

	private final String writer;

	private final LogService log;

	private final Duty<Command> duty;

	private final Map<String, Outbox> outboxes = new HashMap<>();

	/**
	 * Creates an appender.
	 * @param system the process's actor system
	 * @param log the platform's log
	 * @param writer this process's name as a writer, with its incarnation
	 */
	public AppendDuty(ActorSystem<?> system, LogService log, String writer) {
		this.writer = writer;
		this.log = log;
		this.duty = new Duty<>(system, "append", RING_CAPACITY, TICK, this);
	}

	/**
	 * Returns this process's name as a writer.
	 * @return the name
	 */
	public String writer() {
		return this.writer;
	}

	/**
	 * Appends a record.
	 * @param stream the stream
	 * @param body what it proposes
	 * @return the verdict, once the record was folded here; fails with
	 * {@link ErrorKind#OVERLOADED} where nothing was appended for want of room
	 */
	public CompletableFuture<RecordVerdict> append(String stream, RecordBody body) {
		final CompletableFuture<RecordVerdict> verdict = new CompletableFuture<>();
		if (!this.duty.offer(new Command.Append(stream, body, verdict))) {
			verdict.completeExceptionally(new PistachiolineException(ErrorKind.OVERLOADED));
		}
		return verdict;
	}

	@Override
	public void onFolded(String stream, long offset, LogRecord record, Optional<RejectReason> rejection) {
		if (record.writer().equals(this.writer)) {
			this.duty.put(new Command.Folded(stream, record.sequence(), offset, rejection));
		}
	}

	@Override
	public void start() {
		this.duty.start();
	}

	@Override
	public void stop() {
		this.duty.stop();
	}

	@Override
	public void onMessage(Command command) {
		if (command instanceof Command.Append append) {
			final Outbox outbox = this.outboxes.computeIfAbsent(append.stream(), Outbox::new);
			if (outbox.pending.size() >= MAX_PENDING) {
				append.verdict().completeExceptionally(new PistachiolineException(ErrorKind.OVERLOADED));
				return;
			}
			outbox.add(append);
			send(outbox);
		}
		else if (command instanceof Command.Folded folded) {
			final Outbox outbox = this.outboxes.computeIfAbsent(folded.stream(), Outbox::new);
			outbox.onFolded(folded);
		}
		else if (command instanceof Command.Answered answered) {
			onAnswer(this.outboxes.get(answered.stream()), answered.failure());
		}
	}

	@Override
	public void onTick() {
		this.outboxes.values().forEach(this::send);
	}

	private void send(Outbox outbox) {
		if (outbox.inFlight || outbox.unsent.isEmpty() || System.nanoTime() - outbox.retryAtNanos < 0) {
			return;
		}
		outbox.inFlight = true;
		final List<LogRecord> batch = outbox.unsent.stream().limit(MAX_BATCH).toList();
		outbox.batchSize = batch.size();
		this.log.append(outbox.stream, RecordCodec.encode(batch))
			.whenComplete((offset, failure) -> this.duty.put(new Command.Answered(outbox.stream, failure)));
	}

	private void onAnswer(Outbox outbox, Throwable failure) {
		outbox.inFlight = false;
		if (failure == null) {
			for (int i = 0; i < outbox.batchSize && !outbox.unsent.isEmpty(); i++) {
				outbox.unsent.removeFirst();
			}
			outbox.batchSize = 0;
			outbox.backoffMillis = 0;
			send(outbox);
			return;
		}
		final Throwable cause = (failure instanceof CompletionException) ? failure.getCause() : failure;
		if (cause instanceof AppendException append && append.isAmbiguous()) {
			Events.log(EventId.APPEND_AMBIGUOUS, "stream", outbox.stream);
		}
		outbox.backoffMillis = Math.min(LONGEST_BACKOFF_MILLIS,
				Math.max(FIRST_BACKOFF_MILLIS, outbox.backoffMillis * 2));
		final long waitMillis = outbox.backoffMillis / 2 + ThreadLocalRandom.current().nextLong(outbox.backoffMillis);
		outbox.retryAtNanos = System.nanoTime() + Duration.ofMillis(waitMillis).toNanos();
	}

	private final class Outbox {

		private final String stream;

		private final Deque<LogRecord> unsent = new ArrayDeque<>();

		private final Map<Long, CompletableFuture<RecordVerdict>> pending = new HashMap<>();

		private long nextSequence = 1;

		private boolean inFlight;

		private int batchSize;

		private long backoffMillis;

		private long retryAtNanos = System.nanoTime();

		Outbox(String stream) {
			this.stream = stream;
		}

		void add(Command.Append append) {
			final long sequence = this.nextSequence;
			this.nextSequence++;
			this.unsent
				.addLast(new LogRecord(AppendDuty.this.writer, sequence, LogRecord.CURRENT_SCHEMA, append.body()));
			this.pending.put(sequence, append.verdict());
		}

		void onFolded(Command.Folded folded) {
			final CompletableFuture<RecordVerdict> verdict = this.pending.remove(folded.sequence());
			if (verdict != null) {
				verdict.complete(new RecordVerdict(folded.offset(), folded.rejection()));
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
		 * @param offset its offset
		 * @param rejection why it changed nothing
		 */
		record Folded(String stream, long sequence, long offset, Optional<RejectReason> rejection) implements Command {
		}

		/**
		 * The log answered an append, or did not.
		 *
		 * @param stream the stream
		 * @param failure why it failed; null where it succeeded
		 */
		record Answered(String stream, Throwable failure) implements Command {
		}

	}

}
