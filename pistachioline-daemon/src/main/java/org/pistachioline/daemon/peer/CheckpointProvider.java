package org.pistachioline.daemon.peer;

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
 * Gives out one stream's checkpoint part by part.
 * <p>
 * When all daemons are replaced at once, many ask the few that are left. The state is
 * therefore encoded at most once a second, however many ask, and one encoded checkpoint
 * is kept until nobody has asked for it for a while.
 */
final class CheckpointProvider {

	private static final long MIN_ENCODE_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

	private static final long RETENTION_NANOS = TimeUnit.SECONDS.toNanos(10);

	private final Supplier<Optional<StreamSnapshot>> source;

	private List<CheckpointPart> parts = List.of();

	private CheckpointCoverage coverage = CheckpointCoverage.NONE;

	private long encodedAtNanos;

	private long lastRequestNanos;

	CheckpointProvider(Supplier<Optional<StreamSnapshot>> source) {
		this.source = source;
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
		final boolean other = index > 0 && part.throughOffset() != request.getThroughOffset();
		if (other || part.throughOffset() + 1 < request.getKnownOffset()) {
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
		if (!this.parts.isEmpty() && nowNanos - this.encodedAtNanos < MIN_ENCODE_INTERVAL_NANOS) {
			return;
		}
		final Optional<StreamSnapshot> now = this.source.get();
		this.coverage = now.map(StreamSnapshot::coverage).orElse(CheckpointCoverage.NONE);
		this.parts = now.map((snapshot) -> CheckpointParts.cut(snapshot.throughOffset(), snapshot.stateBytes()))
			.orElse(List.of());
		this.encodedAtNanos = nowNanos;
	}

	void expire(long nowNanos) {
		if (nowNanos - this.lastRequestNanos > RETENTION_NANOS) {
			this.parts = List.of();
		}
	}

}
