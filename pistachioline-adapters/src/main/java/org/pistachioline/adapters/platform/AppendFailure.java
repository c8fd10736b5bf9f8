package org.pistachioline.adapters.platform;

/**
 * What a failed append left on the log.
 */
public enum AppendFailure {

	/** Nothing was appended; the same entry may be taken later. */
	REFUSED,

	/** Nothing was appended and never will be: the entry is over the log's limit. */
	TOO_LARGE,

	/** The answer was lost; the entry may have landed, or may land yet. */
	AMBIGUOUS

}
