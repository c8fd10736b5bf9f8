package org.pistachioline.core.quarantine;

/**
 * How far a target had come with a request when it died.
 */
public enum CrashPhase {

	/** It had just begun to answer, or not yet. */
	STARTING(4),

	/**
	 * It had been answering for a while, which tells half as much: most of what runs on a
	 * target that dies for another reason is in this phase.
	 */
	IN_PROGRESS(2);

	private final int weight;

	CrashPhase(int weight) {
		this.weight = weight;
	}

	int weight() {
		return this.weight;
	}

}
