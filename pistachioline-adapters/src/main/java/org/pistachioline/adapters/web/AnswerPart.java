package org.pistachioline.adapters.web;

import java.util.Locale;

/**
 * A part of an answer that has a grammar of its own.
 */
public enum AnswerPart {

	/** The version, the status and its reason, of the answer or of a notice before it. */
	STATUS_LINE;

	/**
	 * Returns the part's name in logs and metrics.
	 * @return the name, in lower case
	 */
	public String code() {
		return name().toLowerCase(Locale.ROOT);
	}

}
