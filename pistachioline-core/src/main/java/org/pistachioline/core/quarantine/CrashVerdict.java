package org.pistachioline.core.quarantine;

/**
 * What a target's death means for a request that it was running.
 */
public enum CrashVerdict {

	/** The request completed before; the death is not held against it. */
	EXCUSED,

	/** The request is suspect and runs apart from other suspects. */
	SUSPECTED,

	/** The request is quarantined from now on. */
	QUARANTINED

}
