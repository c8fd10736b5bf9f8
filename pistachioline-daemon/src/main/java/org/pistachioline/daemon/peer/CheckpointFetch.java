package org.pistachioline.daemon.peer;

import java.io.ByteArrayOutputStream;
import java.util.Optional;

import org.pistachioline.adapters.stream.CheckpointParts;
import org.pistachioline.core.stream.CheckpointCoverage;
import org.pistachioline.daemon.agreed.StreamSnapshot;
import org.pistachioline.protocol.peer.CheckpointReply;
import org.pistachioline.protocol.peer.CheckpointRequest;

/**
 * Fetches one checkpoint from one peer, part by part.
 * <p>
 * What does not belong to the part that was asked for ends the fetch, so that neither a
 * late reply to an earlier fetch nor a stranger's frame can mix two states or make this
 * daemon keep more than the largest checkpoint.
 */
final class CheckpointFetch {

	private final String stream;

	private final String selfId;

	private final String peerId;

	private final long floorOffset;

	private final ByteArrayOutputStream stateBytes = new ByteArrayOutputStream();

	private long throughOffset;

	private CheckpointCoverage cover = CheckpointCoverage.NONE;

	private int nextPart;

	private int parts;

	private long askedAtNanos;

	CheckpointFetch(String stream, String selfId, String peerId, long floorOffset) {
		this.stream = stream;
		this.selfId = selfId;
		this.peerId = peerId;
		this.floorOffset = floorOffset;
	}

	String peerId() {
		return this.peerId;
	}

	long askedAtNanos() {
		return this.askedAtNanos;
	}

	CheckpointRequest ask(long nowNanos) {
		this.askedAtNanos = nowNanos;
		return CheckpointRequest.newBuilder()
			.setStream(this.stream)
			.setKnownOffset(this.floorOffset)
			.setPart(this.nextPart)
			.setThroughOffset(this.throughOffset)
			.setRequesterId(this.selfId)
			.build();
	}

	Progress onReply(CheckpointReply reply) {
		if (!reply.getAvailable() || reply.getPart() != this.nextPart || reply.getParts() < 1
				|| reply.getParts() > CheckpointParts.MAX_PARTS
				|| reply.getState().size() > CheckpointParts.PART_BYTES) {
			return Progress.FAILED;
		}
		if (this.nextPart == 0) {
			this.throughOffset = reply.getThroughOffset();
			this.parts = reply.getParts();
			this.cover = new CheckpointCoverage(reply.getCoveredThrough(), reply.getNeededSinceMillis());
		}
		final boolean tooOld = reply.getThroughOffset() + 1 < this.floorOffset;
		if (tooOld || reply.getThroughOffset() != this.throughOffset || reply.getParts() != this.parts) {
			return Progress.FAILED;
		}
		this.stateBytes.writeBytes(reply.getState().toByteArray());
		this.nextPart++;
		return (this.nextPart == this.parts) ? Progress.DONE : Progress.MORE;
	}

	Optional<StreamSnapshot> snapshot() {
		return (this.parts > 0 && this.nextPart == this.parts)
				? Optional.of(new StreamSnapshot(this.throughOffset, this.stateBytes.toByteArray(), this.cover))
				: Optional.empty();
	}

	/**
	 * What a reply brought.
	 */
	enum Progress {

		MORE, DONE, FAILED

	}

}
