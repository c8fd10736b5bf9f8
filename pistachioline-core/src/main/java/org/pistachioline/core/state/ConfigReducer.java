package org.pistachioline.core.state;

import org.pistachioline.core.manifest.ManifestValidator;
import org.pistachioline.core.record.CheckpointPart;
import org.pistachioline.core.record.LogRecord;
import org.pistachioline.core.record.ManifestProposal;
import org.pistachioline.core.record.UnknownBody;

/**
 * Applies manifest proposals to the configuration with optimistic concurrency control.
 * <p>
 * A proposal is accepted only if its base version is the current version. If two
 * operators publish concurrently on the same base, the first proposal in log order is
 * accepted and the other is rejected with {@link RejectReason#STALE_BASE}. Only a
 * proposal on the current version changes the configuration, so a delayed proposal never
 * reverts it.
 */
public final class ConfigReducer implements Reducer<ConfigState> {

	@Override
	public ConfigState initial() {
		return ConfigState.EMPTY;
	}

	@Override
	public ApplyResult<ConfigState> apply(ConfigState state, long offset, LogRecord record) {
		if (state.writers().isDuplicate(record)) {
			return ApplyResult.rejected(state, RejectReason.REPEATED);
		}
		final ConfigState stateWithMark = state.withWriters(state.writers().with(offset, record));
		if (record.body() instanceof ManifestProposal proposal) {
			return applyProposal(stateWithMark, offset, record, proposal);
		}
		if (record.body() instanceof CheckpointPart) {
			// A checkpoint repeats the state; only the mark of its writer changes.
			return ApplyResult.accepted(stateWithMark);
		}
		final boolean unknown = record.body() instanceof UnknownBody;
		return ApplyResult.rejected(stateWithMark, unknown ? RejectReason.UNKNOWN_KIND : RejectReason.WRONG_STREAM);
	}

	private static ApplyResult<ConfigState> applyProposal(ConfigState state, long offset, LogRecord record,
			ManifestProposal proposal) {
		if (proposal.baseVersion() != state.version()) {
			return ApplyResult.rejected(state, RejectReason.STALE_BASE);
		}
		if (!ManifestValidator.validate(proposal.manifest()).isEmpty()) {
			return ApplyResult.rejected(state, RejectReason.INVALID_MANIFEST);
		}
		return ApplyResult.accepted(new ConfigState(state.version() + 1, offset, record.writer(), record.sequence(),
				proposal.manifest(), state.writers()));
	}

}
