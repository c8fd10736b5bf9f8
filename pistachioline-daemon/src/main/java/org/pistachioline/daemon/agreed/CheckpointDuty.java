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
 * Appends checkpoints of the streams ahead of their retention, where this daemon is the
 * one to do so.
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
	 * Creates the duty.
	 * @param system the process's actor system
	 * @param streams the streams to look after
	 * @param appender appends records
	 * @param selfId this daemon's name
	 * @param daemonIds the names of the live daemons
	 * @param policy decides when to write
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
	public void onMessage(WriteCompleted done) {
		this.streamsBeingWritten.remove(done.stream());
		if (done.written()) {
			Events.log(EventId.CHECKPOINT_WRITTEN, "stream", done.stream(), "through_offset", done.throughOffset(),
					"parts", done.parts(), "bytes", done.stateBytes());
		}
	}

	/**
	 * A checkpoint was appended, or not.
	 *
	 * @param stream the stream
	 * @param throughOffset the last offset that it covers
	 * @param parts how many parts it has
	 * @param stateBytes how large it is
	 * @param written whether all parts were appended
	 */
	record WriteCompleted(String stream, long throughOffset, int parts, int stateBytes, boolean written) {
	}

}
