package org.pistachioline.daemon.agreed;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;

import org.apache.pekko.actor.typed.ActorSystem;

import org.pistachioline.adapters.stream.CheckpointParts;
import org.pistachioline.core.event.EventId;
import org.pistachioline.core.record.CheckpointPart;
import org.pistachioline.core.stream.CheckpointPolicy;
import org.pistachioline.core.stream.StreamAssignment;
import org.pistachioline.daemon.Lifecycle;
import org.pistachioline.daemon.duty.Duty;
import org.pistachioline.daemon.duty.DutyHandler;
import org.pistachioline.daemon.duty.Ring;
import org.pistachioline.daemon.event.Events;

/**
 * Appends checkpoints of the streams before the records that they cover expire.
 * <p>
 * The live daemons are ranked for each stream, and the policy gives lower ranks a longer
 * delay, so that usually one daemon writes the checkpoint.
 */
public final class CheckpointDuty implements Lifecycle, DutyHandler<CheckpointDuty.WriteCompleted> {

	private static final int RING_CAPACITY = 64;

	private static final Duration TICK_INTERVAL = Duration.ofSeconds(1);

	private final List<StreamDuty<?>> streams;

	private final AppendDuty appender;

	private final String selfId;

	private final Supplier<Set<String>> daemonIds;

	private final CheckpointPolicy policy;

	private final Duty<WriteCompleted> duty;

	private final Set<String> streamsBeingWritten = new HashSet<>();

	/**
	 * Creates a duty that writes checkpoints once it is started.
	 * @param system the process's actor system
	 * @param streams the streams to write checkpoints of
	 * @param appender appends the parts of a checkpoint
	 * @param selfId the id of this daemon
	 * @param daemonIds supplies the ids of the live daemons
	 * @param policy decides when a checkpoint is due
	 */
	public CheckpointDuty(ActorSystem<?> system, List<StreamDuty<?>> streams, AppendDuty appender, String selfId,
			Supplier<Set<String>> daemonIds, CheckpointPolicy policy) {
		this.streams = List.copyOf(streams);
		this.appender = appender;
		this.selfId = selfId;
		this.daemonIds = daemonIds;
		this.policy = policy;
		this.duty = new Duty<>(system, "checkpoints", RING_CAPACITY, TICK_INTERVAL, this);
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
		this.duty.stop();
	}

	@Override
	public void onTick() {
		for (final StreamDuty<?> stream : this.streams) {
			final StreamView<?> view = stream.view();
			if (view.complete() && view.caughtUp() && view.logReachable()
					&& !this.streamsBeingWritten.contains(stream.stream()) && this.policy.isDue(view.coverage(),
							view.nextOffset(), rank(stream.stream()), System.currentTimeMillis())) {
				write(stream);
			}
		}
	}

	private int rank(String stream) {
		final Set<String> ids = this.daemonIds.get();
		return Math.max(0, StreamAssignment.rankedDaemons(stream, ids).indexOf(this.selfId));
	}

	private void write(StreamDuty<?> stream) {
		stream.snapshot().ifPresent((snapshot) -> {
			this.streamsBeingWritten.add(stream.stream());
			final byte[] stateBytes = snapshot.stateBytes();
			final List<CheckpointPart> parts = CheckpointParts.cut(snapshot.throughOffset(), stateBytes);
			final List<CompletableFuture<RecordVerdict>> verdicts = new ArrayList<>();
			parts.forEach((part) -> verdicts.add(this.appender.append(stream.stream(), part)));
			CompletableFuture.allOf(verdicts.toArray(CompletableFuture[]::new))
				.whenComplete((all, failure) -> this.duty.put(new WriteCompleted(stream.stream(),
						snapshot.throughOffset(), parts.size(), stateBytes.length, failure == null)));
		});
	}

	@Override
	public void onMessage(WriteCompleted completed) {
		this.streamsBeingWritten.remove(completed.stream());
		if (completed.written()) {
			Events.log(EventId.CHECKPOINT_WRITTEN, "stream", completed.stream(), "through_offset",
					completed.throughOffset(), "parts", completed.parts(), "bytes", completed.stateBytes());
		}
	}

	/**
	 * All parts of a checkpoint were folded, or the write failed.
	 *
	 * @param stream the stream
	 * @param throughOffset the last offset that it covers
	 * @param parts the number of parts
	 * @param stateBytes the size of the encoded state
	 * @param written whether all parts were appended and folded
	 */
	record WriteCompleted(String stream, long throughOffset, int parts, int stateBytes, boolean written) {
	}

}
