package org.pistachioline.core.state;

import org.pistachioline.core.manifest.ManifestValidator;
import org.pistachioline.core.record.CheckpointPart;
import org.pistachioline.core.record.LogRecord;
import org.pistachioline.core.record.ManifestProposal;
import org.pistachioline.core.record.UnknownBody;

/**
 * Folds manifests: one is accepted only on the version that its author saw.
 * <p>
 * Two operators who race both name the same base, so the first in log order wins and the
 * other is told by which version it was beaten. Nothing but a newer proposal on the
 * current version can change what is in force, so a configuration never reverts.
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
		final ConfigState marked = state.withWriters(state.writers().with(offset, record));
		if (record.body() instanceof ManifestProposal proposal) {
			return applyProposal(marked, offset, record, proposal);
		}
		if (record.body() instanceof CheckpointPart) {
			// It restates what the state says already; only its writer's mark moves.
			return ApplyResult.accepted(marked);
		}
		final boolean unknown = record.body() instanceof UnknownBody;
		return ApplyResult.rejected(marked, unknown ? RejectReason.UNKNOWN_KIND : RejectReason.WRONG_STREAM);
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
