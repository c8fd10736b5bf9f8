package org.pistachioline.core.claims;

import java.util.Optional;

import org.pistachioline.core.record.CheckpointPart;
import org.pistachioline.core.record.KeyClaim;
import org.pistachioline.core.record.KeyOutcome;
import org.pistachioline.core.record.KeyRelease;
import org.pistachioline.core.record.LogRecord;
import org.pistachioline.core.record.UnknownBody;
import org.pistachioline.core.state.Applied;
import org.pistachioline.core.state.Reducer;
import org.pistachioline.core.state.RejectReason;

/**
 * Applies claims: the first claim of a key in log order is granted, all others are
 * rejected.
 * <p>
 * Whatever requests race, are retried or resume after a pause, the log has one first
 * claim, and all daemons find the same one. The state is bounded. An entry past its
 * retention of twice the key's lifetime is evicted only when a newer claim needs the
 * space, so that one daemon with a fast clock cannot empty a partition with little
 * traffic. A partition full of retained claims grants none, and these requests are
 * refused as not run. Responses beyond the storage limit are stored as unknown.
 */
public final class ClaimsReducer implements Reducer<ClaimsState> {

	@Override
	public ClaimsState initial() {
		return ClaimsState.EMPTY;
	}

	@Override
	public Applied<ClaimsState> apply(ClaimsState state, long offset, LogRecord record) {
		if (state.writers().isRepeat(record)) {
			return Applied.rejected(state, RejectReason.REPEATED);
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
			// A checkpoint part repeats what the state contains; only the mark of
			// its writer changes.
			return Applied.accepted(marked);
		}
		final boolean unknown = record.body() instanceof UnknownBody;
		return Applied.rejected(marked, unknown ? RejectReason.UNKNOWN_KIND : RejectReason.WRONG_STREAM);
	}

	private static Applied<ClaimsState> claim(ClaimsState state, long offset, String writer, KeyClaim claim) {
		final String key = ClaimsState.keyOf(claim.workspace(), claim.key());
		final ClaimsState current = state.evictExpired(claim.claimedAtMillis());
		if (current.entries().containsKey(key)) {
			return Applied.rejected(current, RejectReason.KEY_TAKEN);
		}
		if (current.entries().size() >= ClaimsState.MAX_ENTRIES) {
			return Applied.rejected(current, RejectReason.CLAIMS_FULL);
		}
		return Applied.accepted(current.withEntry(key, new ClaimEntry(claim, offset, writer, Optional.empty())));
	}

	private static Applied<ClaimsState> release(ClaimsState state, KeyRelease release) {
		final String key = ClaimsState.keyOf(release.workspace(), release.key());
		final ClaimEntry entry = state.entries().get(key);
		if (entry == null || entry.claimOffset() != release.claimOffset() || entry.outcome().isPresent()) {
			return Applied.rejected(state, RejectReason.UNKNOWN_CLAIM);
		}
		return Applied.accepted(state.without(key));
	}

	private static Applied<ClaimsState> storeOutcome(ClaimsState state, KeyOutcome outcome) {
		final String key = ClaimsState.keyOf(outcome.workspace(), outcome.key());
		final ClaimEntry entry = state.entries().get(key);
		if (entry == null || entry.claimOffset() != outcome.claimOffset() || entry.outcome().isPresent()) {
			return Applied.rejected(state, RejectReason.UNKNOWN_CLAIM);
		}
		final boolean fits = state.storedBytes() + outcome.body().length() <= ClaimsState.MAX_STORED_BYTES;
		final KeyOutcome kept = fits ? outcome : new KeyOutcome(outcome.workspace(), outcome.key(),
				outcome.claimOffset(), outcome.status(), outcome.contentType(), "", true);
		return Applied.accepted(state.withEntry(key,
				new ClaimEntry(entry.claim(), entry.claimOffset(), entry.writer(), Optional.of(kept))));
	}

}
