package org.pistachioline.core.traffic;

/**
 * The kind of target that a request is sent to.
 */
public enum TargetKind {

	/** A replica group of model engines. */
	MODEL,

	/** An instance of a plain service. */
	SERVICE

}
