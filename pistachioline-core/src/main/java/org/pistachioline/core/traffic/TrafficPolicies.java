package org.pistachioline.core.traffic;

import org.pistachioline.core.admission.AdmissionPolicy;
import org.pistachioline.core.placement.PlacementPolicy;
import org.pistachioline.core.quarantine.QuarantinePolicy;
import org.pistachioline.core.queueing.QueuePolicy;
import org.pistachioline.core.retry.RetryPolicy;

/**
 * The behaviours that vary, one interface each.
 *
 * @param admission who may enter
 * @param queue who waits and who goes next
 * @param placement which target a request goes to
 * @param retry whether a failed attempt is followed by another
 * @param quarantine which requests are suspected of crashing targets
 * @param migration when a running stream is moved to another target
 */
public record TrafficPolicies(AdmissionPolicy admission, QueuePolicy queue, PlacementPolicy placement,
		RetryPolicy retry, QuarantinePolicy quarantine, StreamMigrationPolicy migration) {

	/**
	 * Puts together policies with the usual rules for moving streams.
	 * @param admission who may enter
	 * @param queue who waits and who goes next
	 * @param placement which target a request goes to
	 * @param retry whether a failed attempt is followed by another
	 * @param quarantine which requests are suspected of crashing targets
	 */
	public TrafficPolicies(AdmissionPolicy admission, QueuePolicy queue, PlacementPolicy placement, RetryPolicy retry,
			QuarantinePolicy quarantine) {
		this(admission, queue, placement, retry, quarantine, new StandardMigrationPolicy());
	}

}
