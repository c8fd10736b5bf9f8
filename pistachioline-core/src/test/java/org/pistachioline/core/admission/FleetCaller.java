package org.pistachioline.core.admission;

/**
 * The request of one caller in a {@link FleetSimulation}, over all of its attempts.
 */
final class FleetCaller {

	final FleetKind kind;

	final String workspace;

	final long firstAttemptNanos;

	final int tokens;

	final long slotNanos;

	/** Whether it comes back at once instead of when it is told to. */
	final boolean impatient;

	int attempts;

	boolean served;

	boolean onTime;

	FleetCaller(FleetKind kind, String workspace, long firstAttemptNanos, int tokens, long slotNanos,
			boolean impatient) {
		this.kind = kind;
		this.workspace = workspace;
		this.firstAttemptNanos = firstAttemptNanos;
		this.tokens = tokens;
		this.slotNanos = slotNanos;
		this.impatient = impatient;
	}

	double credit() {
		if (!this.served) {
			return 0;
		}
		return this.onTime ? this.kind.credit() : this.kind.lateCredit();
	}

}
