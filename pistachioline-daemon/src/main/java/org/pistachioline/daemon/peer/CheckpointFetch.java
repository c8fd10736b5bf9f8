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

	private final long minNextOffset;

	private final ByteArrayOutputStream stateBytes = new ByteArrayOutputStream();

	private long throughOffset;

	private CheckpointCoverage coverage = CheckpointCoverage.NONE;

	private int nextPartIndex;

	private int partCount;

	private long requestedAtNanos;

	CheckpointFetch(String stream, String selfId, String peerId, long floorOffset) {
		this.stream = stream;
		this.selfId = selfId;
		this.peerId = peerId;
		this.minNextOffset = floorOffset;
	}

	String peerId() {
		return this.peerId;
	}

	long requestedAtNanos() {
		return this.requestedAtNanos;
	}

	CheckpointRequest nextRequest(long nowNanos) {
		this.requestedAtNanos = nowNanos;
		return CheckpointRequest.newBuilder()
			.setStream(this.stream)
			.setKnownOffset(this.minNextOffset)
			.setPart(this.nextPartIndex)
			.setThroughOffset(this.throughOffset)
			.setRequesterId(this.selfId)
			.build();
	}

	Progress onReply(CheckpointReply reply) {
		if (!reply.getAvailable() || reply.getPart() != this.nextPartIndex || reply.getParts() < 1
				|| reply.getParts() > CheckpointParts.MAX_PARTS
				|| reply.getState().size() > CheckpointParts.PART_BYTES) {
			return Progress.FAILED;
		}
		if (this.nextPartIndex == 0) {
			this.throughOffset = reply.getThroughOffset();
			this.partCount = reply.getParts();
			this.coverage = new CheckpointCoverage(reply.getCoveredThrough(), reply.getNeededSinceMillis());
		}
		final boolean tooOld = reply.getThroughOffset() + 1 < this.minNextOffset;
		if (tooOld || reply.getThroughOffset() != this.throughOffset || reply.getParts() != this.partCount) {
			return Progress.FAILED;
		}
		this.stateBytes.writeBytes(reply.getState().toByteArray());
		this.nextPartIndex++;
		return (this.nextPartIndex == this.partCount) ? Progress.COMPLETE : Progress.INCOMPLETE;
	}

	Optional<StreamSnapshot> snapshot() {
		return (this.partCount > 0 && this.nextPartIndex == this.partCount)
				? Optional.of(new StreamSnapshot(this.throughOffset, this.stateBytes.toByteArray(), this.coverage))
				: Optional.empty();
	}

	/**
	 * What a reply brought.
	 */
	enum Progress {

		INCOMPLETE, COMPLETE, FAILED

	}

}
