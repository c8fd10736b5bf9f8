package org.pistachioline.adapters.http;

import java.nio.charset.StandardCharsets;

/**
 * A whole HTTP answer.
 */
public final class HttpAnswer {

	private final int status;

	private final String contentType;

	private final String tag;

	private final byte[] bodyBytes;

	/**
	 * Creates an answer.
	 * @param status the HTTP status
	 * @param contentType the content type
	 * @param tag the entity tag; empty where there is none
	 * @param bodyBytes the body
	 */
	public HttpAnswer(int status, String contentType, String tag, byte[] bodyBytes) {
		this.status = status;
		this.contentType = contentType;
		this.tag = tag;
		this.bodyBytes = bodyBytes.clone();
	}

	/**
	 * Returns the HTTP status.
	 * @return the status
	 */
	public int status() {
		return this.status;
	}

	/**
	 * Returns the content type.
	 * @return the content type
	 */
	public String contentType() {
		return this.contentType;
	}

	/**
	 * Returns the entity tag.
	 * @return the tag; empty where there is none
	 */
	public String tag() {
		return this.tag;
	}

	/**
	 * Returns the body.
	 * @return a copy of the body's bytes
	 */
	public byte[] bodyBytes() {
		return this.bodyBytes.clone();
	}

	/**
	 * Returns the body as text.
	 * @return the body, decoded as UTF-8
	 */
	public String bodyText() {
		return new String(this.bodyBytes, StandardCharsets.UTF_8);
	}

	/**
	 * Returns whether the call succeeded.
	 * @return whether the status is in the 200s
	 */
	public boolean isSuccess() {
		return this.status >= 200 && this.status < 300;
	}

}
