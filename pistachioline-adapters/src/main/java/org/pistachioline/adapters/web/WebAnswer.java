package org.pistachioline.adapters.web;

/**
 * A whole answer.
 *
 * @param head the head
 * @param body the body
 */
public record WebAnswer(AnswerHead head, Body body) {

	/**
	 * Creates an answer with JSON as its body.
	 * @param status the status
	 * @param json the body
	 * @return the answer
	 */
	public static WebAnswer json(int status, String json) {
		return new WebAnswer(new AnswerHead(status, HeaderFields.of("Content-Type", "application/json")),
				Body.of(json));
	}

	/**
	 * Creates an answer with text as its body.
	 * @param status the status
	 * @param text the body
	 * @return the answer
	 */
	public static WebAnswer text(int status, String text) {
		return new WebAnswer(new AnswerHead(status, HeaderFields.of("Content-Type", "text/plain; charset=UTF-8")),
				Body.of(text));
	}

	/**
	 * Creates an answer without a body.
	 * @param status the status
	 * @return the answer
	 */
	public static WebAnswer empty(int status) {
		return new WebAnswer(new AnswerHead(status, HeaderFields.EMPTY), Body.EMPTY);
	}

	/**
	 * Returns the status.
	 * @return the status
	 */
	public int status() {
		return this.head.status();
	}

	/**
	 * Returns this answer with further header fields.
	 * @param namesAndValues names and values by turns
	 * @return the answer
	 */
	public WebAnswer with(String... namesAndValues) {
		return new WebAnswer(new AnswerHead(this.head.status(), this.head.headers().with(namesAndValues)), this.body);
	}

}
