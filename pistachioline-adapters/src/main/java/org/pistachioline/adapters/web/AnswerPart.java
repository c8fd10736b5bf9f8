package org.pistachioline.adapters.web;

import java.util.Locale;

/**
 * A part of an answer that has a grammar of its own.
 */
public enum AnswerPart {

	/**
	 * The version, the status and its reason, of the answer or of an interim one before
	 * it.
	 */
	STATUS_LINE,

	/** The name of a header field, up to its colon. */
	FIELD_NAME,

	/** The value of a header field. */
	FIELD_VALUE,

	/** The size of a chunk, and the end of the line behind its bytes. */
	CHUNK,

	/** A field behind the last chunk. */
	TRAILER;

	/**
	 * Returns the part's name in logs and metrics.
	 * @return the name, in lower case
	 */
	public String code() {
		return name().toLowerCase(Locale.ROOT);
	}

}
