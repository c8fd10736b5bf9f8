package org.pistachioline.adapters.codec;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

import com.google.protobuf.InvalidProtocolBufferException;
import org.pcollections.HashTreePMap;

import org.pistachioline.core.claims.ClaimEntry;
import org.pistachioline.core.claims.ClaimsState;
import org.pistachioline.core.record.KeyClaim;
import org.pistachioline.core.record.KeyOutcome;
import org.pistachioline.protocol.records.ClaimsSnapshot;

/**
 * Checkpoints the claims of one partition with the offsets that outcomes refer to.
 */
public final class ClaimsSnapshotCodec implements SnapshotCodec<ClaimsState> {

	@Override
	public byte[] encode(ClaimsState state) {
		final ClaimsSnapshot.Builder builder = ClaimsSnapshot.newBuilder();
		state.entries().values().forEach((entry) -> builder.addEntries(encode(entry)));
		return builder.addAllWriters(WriterMarksCodec.encode(state.writers())).build().toByteArray();
	}

	private static ClaimsSnapshot.Entry encode(ClaimEntry entry) {
		final ClaimsSnapshot.Entry.Builder builder = ClaimsSnapshot.Entry.newBuilder()
			.setClaim(RecordCodec.encode(entry.claim()))
			.setClaimOffset(entry.claimOffset())
			.setWriter(entry.writer());
		entry.outcome().ifPresent((outcome) -> builder.setOutcome(RecordCodec.encode(outcome)));
		return builder.build();
	}

	@Override
	public ClaimsState decode(byte[] stateBytes) throws CorruptRecordException {
		try {
			final ClaimsSnapshot snapshot = ClaimsSnapshot.parseFrom(stateBytes);
			final Map<String, ClaimEntry> entries = new HashMap<>();
			for (final ClaimsSnapshot.Entry message : snapshot.getEntriesList()) {
				final KeyClaim claim = RecordCodec.decode(message.getClaim());
				final Optional<KeyOutcome> outcome = message.hasOutcome()
						? Optional.of(RecordCodec.decode(message.getOutcome())) : Optional.empty();
				entries.put(ClaimsState.keyOf(claim.workspace(), claim.key()),
						new ClaimEntry(claim, message.getClaimOffset(), message.getWriter(), outcome));
			}
			return new ClaimsState(HashTreePMap.from(entries), WriterMarksCodec.decode(snapshot.getWritersList()));
		}
		catch (InvalidProtocolBufferException | IllegalArgumentException ex) {
			throw new CorruptRecordException(ex);
		}
	}

}
