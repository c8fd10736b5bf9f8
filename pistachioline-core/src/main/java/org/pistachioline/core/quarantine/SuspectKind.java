package org.pistachioline.core.quarantine;

/**
 * What may crash the targets that run it.
 */
public enum SuspectKind {

	/** One request, and its copies under other ids. */
	REQUEST,

	/** A part of the prompts of any number of requests. */
	PROMPT_PART

}
