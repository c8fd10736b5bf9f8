package org.pistachioline.core.claims;

import java.util.Optional;

import org.pistachioline.core.record.CheckpointPart;
import org.pistachioline.core.record.KeyClaim;
import org.pistachioline.core.record.KeyOutcome;
import org.pistachioline.core.record.KeyRelease;
import org.pistachioline.core.record.LogRecord;
import org.pistachioline.core.record.UnknownBody;
import org.pistachioline.core.state.ApplyResult;
import org.pistachioline.core.state.Reducer;
import org.pistachioline.core.state.RejectReason;

/**
 * Folds claims: the first of a key in log order is granted, all others are not.
 * <p>
 * Whoever races, repeats or comes back from a pause, the log has one first claim, and all
 * daemons find the same one. The state is bounded: an entry past twice its key's lifetime
 * goes when a newer claim needs the room, and not before, so that one daemon with a fast
 * clock cannot make a quiet partition forget; a partition full of younger claims grants
 * none, which is refused as not run; answers beyond the bytes kept are stored as unknown.
 */
public final class ClaimsReducer implements Reducer<ClaimsState> {

	@Override
	public ClaimsState initial() {
		return ClaimsState.EMPTY;
	}

	@Override
	public ApplyResult<ClaimsState> apply(ClaimsState state, long offset, LogRecord record) {
		if (state.writers().isDuplicate(record)) {
			return ApplyResult.rejected(state, RejectReason.REPEATED);
		}
		final ClaimsState marked = state.withWriters(state.writers().with(offset, record));
		if (record.body() instanceof KeyClaim claim) {
			return claim(marked, offset, record.writer(), claim);
		}
		if (record.body() instanceof KeyRelease release) {
			return release(marked, release);
		}
		if (record.body() instanceof KeyOutcome outcome) {
			return storeOutcome(marked, outcome);
		}
		if (record.body() instanceof CheckpointPart) {
			// It restates what the state says already; only its writer's mark moves.
			return ApplyResult.accepted(marked);
		}
		final boolean unknown = record.body() instanceof UnknownBody;
		return ApplyResult.rejected(marked, unknown ? RejectReason.UNKNOWN_KIND : RejectReason.WRONG_STREAM);
	}

	private static ApplyResult<ClaimsState> claim(ClaimsState state, long offset, String writer, KeyClaim claim) {
		final String key = ClaimsState.keyOf(claim.workspace(), claim.key());
		final ClaimsState current = state.evictExpired(claim.claimedAtMillis());
		if (current.entries().containsKey(key)) {
			return ApplyResult.rejected(current, RejectReason.KEY_TAKEN);
		}
		if (current.entries().size() >= ClaimsState.MAX_ENTRIES) {
			return ApplyResult.rejected(current, RejectReason.CLAIMS_FULL);
		}
		return ApplyResult.accepted(current.withEntry(key, new ClaimEntry(claim, offset, writer, Optional.empty())));
	}

	private static ApplyResult<ClaimsState> release(ClaimsState state, KeyRelease release) {
		final String key = ClaimsState.keyOf(release.workspace(), release.key());
		final ClaimEntry entry = state.entries().get(key);
		if (entry == null || entry.claimOffset() != release.claimOffset() || entry.outcome().isPresent()) {
			return ApplyResult.rejected(state, RejectReason.UNKNOWN_CLAIM);
		}
		return ApplyResult.accepted(state.without(key));
	}

	private static ApplyResult<ClaimsState> storeOutcome(ClaimsState state, KeyOutcome outcome) {
		final String key = ClaimsState.keyOf(outcome.workspace(), outcome.key());
		final ClaimEntry entry = state.entries().get(key);
		if (entry == null || entry.claimOffset() != outcome.claimOffset() || entry.outcome().isPresent()) {
			return ApplyResult.rejected(state, RejectReason.UNKNOWN_CLAIM);
		}
		final boolean fits = state.storedBytes() + outcome.body().length() <= ClaimsState.MAX_STORED_BYTES;
		final KeyOutcome kept = fits ? outcome : new KeyOutcome(outcome.workspace(), outcome.key(),
				outcome.claimOffset(), outcome.status(), outcome.contentType(), "", true);
		return ApplyResult.accepted(state.withEntry(key,
				new ClaimEntry(entry.claim(), entry.claimOffset(), entry.writer(), Optional.of(kept))));
	}

}
