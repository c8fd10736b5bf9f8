package org.pistachioline.core.record;

/**
 * The change that a record proposes.
 */
public sealed interface RecordBody permits ManifestProposal, PlannerClaim, GroupFormation, GroupDissolution, GroupDrain,
		RequestQuarantine, RequestSuspicion, KeyClaim, KeyRelease, KeyOutcome, CheckpointPart, UnknownBody {

}
