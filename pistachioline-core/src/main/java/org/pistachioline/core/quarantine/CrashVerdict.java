package org.pistachioline.core.quarantine;

/**
 * Consequence of a broken attempt for its request.
 */
public enum CrashVerdict {

	/**
	 * The attempt is not counted against the request, for instance because the request
	 * completed before.
	 */
	EXCUSED,

	/** The request is a suspect and is isolated from other suspects. */
	SUSPECTED,

	/** The request is quarantined and must not run again. */
	QUARANTINED

}
