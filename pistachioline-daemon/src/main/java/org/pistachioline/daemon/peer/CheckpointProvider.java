package org.pistachioline.daemon.peer;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

import com.google.protobuf.ByteString;

import org.pistachioline.adapters.stream.CheckpointParts;
import org.pistachioline.core.record.CheckpointPart;
import org.pistachioline.core.stream.CheckpointCoverage;
import org.pistachioline.daemon.agreed.StreamSnapshot;
import org.pistachioline.protocol.peer.CheckpointReply;
import org.pistachioline.protocol.peer.CheckpointRequest;

/**
 * Serves one stream's checkpoint to peers, part by part.
 * <p>
 * When all daemons are replaced at once, many of them request checkpoints from the few
 * that remain. The state is therefore encoded at most once a second, unless the source
 * says otherwise, regardless of the number of requests, and the encoded checkpoint is
 * retained until no peer has requested it for a while.
 */
final class CheckpointProvider {

	private static final Duration DEFAULT_ENCODE_INTERVAL = Duration.ofSeconds(1);

	private static final long RETENTION_NANOS = TimeUnit.SECONDS.toNanos(10);

	private final Supplier<Optional<StreamSnapshot>> source;

	private final long minEncodeIntervalNanos;

	private List<CheckpointPart> parts = List.of();

	private CheckpointCoverage coverage = CheckpointCoverage.NONE;

	private long encodedAtNanos;

	private long lastRequestNanos;

	CheckpointProvider(Supplier<Optional<StreamSnapshot>> source) {
		this(source, DEFAULT_ENCODE_INTERVAL);
	}

	/**
	 * Creates a provider.
	 * @param source supplies the state
	 * @param minEncodeInterval for how long an encoded checkpoint is provided although
	 * the state may have changed
	 */
	CheckpointProvider(Supplier<Optional<StreamSnapshot>> source, Duration minEncodeInterval) {
		this.source = source;
		this.minEncodeIntervalNanos = minEncodeInterval.toNanos();
	}

	CheckpointReply respond(CheckpointRequest request, long nowNanos) {
		this.lastRequestNanos = nowNanos;
		if (request.getPart() == 0) {
			refresh(nowNanos);
		}
		final CheckpointReply.Builder reply = CheckpointReply.newBuilder()
			.setStream(request.getStream())
			.setPart(request.getPart());
		final int index = request.getPart();
		if (index < 0 || index >= this.parts.size()) {
			return reply.build();
		}
		final CheckpointPart part = this.parts.get(index);
		final boolean otherCheckpoint = index > 0 && part.throughOffset() != request.getThroughOffset();
		if (otherCheckpoint || part.throughOffset() + 1 < request.getKnownOffset()) {
			return reply.build();
		}
		return reply.setAvailable(true)
			.setThroughOffset(part.throughOffset())
			.setParts(part.parts())
			.setCoveredThrough(this.coverage.throughOffset())
			.setNeededSinceMillis(this.coverage.oldestUncoveredMillis())
			.setState(ByteString.copyFrom(part.stateBytes()))
			.build();
	}

	private void refresh(long nowNanos) {
		if (!this.parts.isEmpty() && nowNanos - this.encodedAtNanos < this.minEncodeIntervalNanos) {
			return;
		}
		final Optional<StreamSnapshot> snapshot = this.source.get();
		this.coverage = snapshot.map(StreamSnapshot::coverage).orElse(CheckpointCoverage.NONE);
		this.parts = snapshot.map((current) -> CheckpointParts.cut(current.throughOffset(), current.stateBytes()))
			.orElse(List.of());
		this.encodedAtNanos = nowNanos;
	}

	void expire(long nowNanos) {
		if (nowNanos - this.lastRequestNanos > RETENTION_NANOS) {
			this.parts = List.of();
		}
	}

}
