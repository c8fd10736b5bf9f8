package org.pistachioline.core.fleet;

import java.util.Locale;

/**
 * How far an engine is with the model that it was told to load.
 */
public enum EnginePhase {

	/** It holds nothing. */
	FREE,

	/** It loads. */
	LOADING,

	/** It can run requests. */
	READY,

	/** It says something else. */
	UNKNOWN;

	/**
	 * Finds a phase by its name on the wire.
	 * @param name the name, in lower case
	 * @return the phase
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
