package org.pistachioline.core.record;

/**
 * What a record proposes.
 */
public sealed interface RecordBody permits ManifestProposal, PlannerClaim, GroupFormation, GroupDissolution, GroupDrain,
		RequestQuarantine, RequestSuspicion, KeyClaim, KeyRelease, KeyOutcome, CheckpointPart, UnknownBody {

}
