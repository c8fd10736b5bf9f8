package org.pistachioline.daemon.relay;

import org.pistachioline.adapters.web.AnswerHead;
import org.pistachioline.adapters.web.BlockBuffer;
import org.pistachioline.adapters.web.Body;

/**
 * Keeps the body of a response that is passed on whole, within its bound, and bounds that
 * of one which is not passed on.
 */
final class WholeResponse {

	/**
	 * Bounds the memory of one buffered response; the responses of targets are smaller.
	 */
	private static final int MAX_RESPONSE_BYTES = 16 * 1024 * 1024;

	/**
	 * Bounds a response that is not passed on; a target says in its head that it
	 * declines.
	 */
	private static final int MAX_DECLINED_BYTES = 64 * 1024;

	/** Longer lengths may not fit into a long. */
	private static final int MAX_LENGTH_DIGITS = 18;

	private final BlockBuffer body = new BlockBuffer();

	private int declinedBytes;

	/**
	 * Returns whether a head states a length beyond the bound.
	 * @param method the request's method
	 * @param head the head
	 * @return whether the response must be ended
	 */
	static boolean declaresTooMuch(String method, AnswerHead head) {
		// The answer to a HEAD request states the length of a body that does not follow.
		return !method.equals("HEAD")
				&& head.header("Content-Length").map(WholeResponse::parseLength).orElse(0L) > MAX_RESPONSE_BYTES;
	}

	// The codec has checked the length.
	private static long parseLength(String text) {
		final String digits = text.trim();
		return (digits.length() > MAX_LENGTH_DIGITS) ? Long.MAX_VALUE : Long.parseLong(digits);
	}

	/**
	 * Keeps bytes of the body, unless it would become too large.
	 * @param bytes the bytes
	 * @return false if they were not kept
	 */
	boolean append(byte[] bytes) {
		if (this.body.sizeBytes() + bytes.length > MAX_RESPONSE_BYTES) {
			return false;
		}
		this.body.append(bytes);
		return true;
	}

	/**
	 * Drops bytes of the body of a response by which the target declines.
	 * @param bytes the bytes
	 * @return false if that body is too large
	 */
	boolean drop(byte[] bytes) {
		this.declinedBytes += bytes.length;
		return this.declinedBytes <= MAX_DECLINED_BYTES;
	}

	/**
	 * Returns the memory of the body.
	 * @return the number of bytes
	 */
	int capacityBytes() {
		return this.body.capacityBytes();
	}

	/**
	 * Returns the body, and forgets it.
	 * @return the body
	 */
	Body takeBody() {
		return this.body.takeBody();
	}

	/** Frees the memory of the body. */
	void clear() {
		this.body.clear();
	}

}
