package org.pistachioline.adapters.web;

import java.io.IOException;

/**
 * The bytes that the other side sent break the grammar of HTTP, so they are no answer.
 * Its connection is closed; whether the request has run is not known.
 */
public final class MalformedAnswerException extends IOException {

	private static final long serialVersionUID = 1L;

	private final AnswerPart part;

	/**
	 * Creates the exception.
	 * @param part the first part that breaks the grammar
	 */
	public MalformedAnswerException(AnswerPart part) {
		super("The answer is malformed in a " + part.code());
		this.part = part;
	}

	/**
	 * Returns what breaks the grammar.
	 * @return the first such part
	 */
	public AnswerPart part() {
		return this.part;
	}

}
