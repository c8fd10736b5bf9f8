package org.pistachioline.core.traffic;

import org.pistachioline.core.admission.AdmissionPolicy;
import org.pistachioline.core.placement.PlacementPolicy;
import org.pistachioline.core.quarantine.QuarantinePolicy;
import org.pistachioline.core.queueing.QueuePolicy;
import org.pistachioline.core.retry.RetryPolicy;

/**
 * The exchangeable policies of a traffic core.
 *
 * @param admission decides which requests are admitted
 * @param queue holds the admitted requests and decides their order
 * @param placement selects the target of a request
 * @param retry decides whether a failed attempt is retried
 * @param quarantine identifies requests that crash targets
 * @param migration decides when a running stream is moved to another target
 */
public record TrafficPolicies(AdmissionPolicy admission, QueuePolicy queue, PlacementPolicy placement,
		RetryPolicy retry, QuarantinePolicy quarantine, StreamMigrationPolicy migration) {

	/**
	 * Creates policies with the standard rules for stream migration.
	 * @param admission decides which requests are admitted
	 * @param queue holds the admitted requests and decides their order
	 * @param placement selects the target of a request
	 * @param retry decides whether a failed attempt is retried
	 * @param quarantine identifies requests that crash targets
	 */
	public TrafficPolicies(AdmissionPolicy admission, QueuePolicy queue, PlacementPolicy placement, RetryPolicy retry,
			QuarantinePolicy quarantine) {
		this(admission, queue, placement, retry, quarantine, new StandardMigrationPolicy());
	}

}
