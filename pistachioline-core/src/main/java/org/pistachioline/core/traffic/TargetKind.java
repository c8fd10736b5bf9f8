package org.pistachioline.core.traffic;

/**
 * What kind of target a request goes to.
 */
public enum TargetKind {

	/** A replica group of model engines. */
	MODEL,

	/** An instance of a plain service. */
	SERVICE

}
