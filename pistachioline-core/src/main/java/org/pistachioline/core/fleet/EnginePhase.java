package org.pistachioline.core.fleet;

import java.util.Locale;

/**
 * The phase of an engine in loading the model of its last order.
 */
public enum EnginePhase {

	/** The engine holds no model. */
	FREE,

	/** The engine loads the model. */
	LOADING,

	/** The engine can run requests. */
	READY,

	/** The engine reported a phase that is not known here. */
	UNKNOWN;

	/**
	 * Returns the phase with a given name on the wire.
	 * @param name the name, in lower case
	 * @return the phase; {@link #UNKNOWN} for any other name
	 */
	public static EnginePhase fromWireName(String name) {
		for (final EnginePhase phase : values()) {
			if (phase.name().toLowerCase(Locale.ROOT).equals(name)) {
				return phase;
			}
		}
		return UNKNOWN;
	}

}
