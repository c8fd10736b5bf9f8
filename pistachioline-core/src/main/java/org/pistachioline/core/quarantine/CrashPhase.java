package org.pistachioline.core.quarantine;

/**
 * How far a request had progressed on a target when the target crashed.
 */
public enum CrashPhase {

	/**
	 * The target had produced no output for the request, or only the first few events.
	 */
	STARTING(4),

	/**
	 * The target had been producing output for a while. Weighs half, since most requests
	 * on a target that crashes for an unrelated reason are in this phase.
	 */
	IN_PROGRESS(2);

	/** A target that delivered more events is past the starting phase of its answer. */
	public static final int STARTING_EVENTS = 3;

	private final int weight;

	CrashPhase(int weight) {
		this.weight = weight;
	}

	int weight() {
		return this.weight;
	}

}
