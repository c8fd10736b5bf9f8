package org.pistachioline.adapters.web;

import java.util.Optional;

/**
 * The head of an answer.
 *
 * @param status the status
 * @param headers the header fields
 */
public record AnswerHead(int status, HeaderFields headers) {

	/**
	 * Returns the value of the first header field with a name.
	 * @param name the name
	 * @return the value; empty where there is no such field
	 */
	public Optional<String> header(String name) {
		return this.headers.first(name);
	}

}
