package org.pistachioline.adapters.web;

import java.util.Optional;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;

/**
 * Skips a server's second answer to an earlier request where the answer to the next one
 * is due, so that the next one is not lost with its connection.
 * <p>
 * Skipped is one short answer of a known length, which names a request that the
 * connection has carried. Anything else could hide where the next answer begins.
 */
final class LateAnswerSkipper {

	/** The time within which a skipped answer must end; it is short and already sent. */
	static final long MAX_MILLIS = 100;

	/** The largest body of a skipped answer. */
	static final long MAX_BYTES = 32 * 1024;

	private boolean skipping;

	private AnswerHead skipped;

	/**
	 * Begins to skip an answer if that is safe.
	 * @param response the head of the answer
	 * @param request the request that waits
	 * @param history what the connection has carried
	 * @return whether the answer is skipped
	 */
	boolean skip(HttpResponse response, WebRequest request, ConnectionHistory history) {
		this.skipping = this.skipped == null && answersEarlier(response, request, history) && isShort(response)
				&& !request.method().equals("HEAD");
		if (this.skipping) {
			this.skipped = new AnswerHead(response.status().code(), HeaderFields.of(response.headers()));
		}
		return this.skipping;
	}

	private static boolean answersEarlier(HttpResponse response, WebRequest request, ConnectionHistory history) {
		final Optional<String> answered = request.idHeader().map((name) -> response.headers().get(name));
		return answered.filter((id) -> !request.id().equals(answered) && history.hasCarried(id)).isPresent();
	}

	private static boolean isShort(HttpResponse response) {
		return HttpUtil.isContentLengthSet(response) && !HttpUtil.isTransferEncodingChunked(response)
				&& HttpUtil.getContentLength(response) <= MAX_BYTES;
	}

	/**
	 * Ends the skipped answer.
	 */
	void end() {
		this.skipping = false;
	}

	boolean isSkipping() {
		return this.skipping;
	}

	/**
	 * Returns whether an answer has been skipped. Its connection must not be used again.
	 * @return whether one has been, or is being, skipped
	 */
	boolean hasSkipped() {
		return this.skipped != null;
	}

	/**
	 * Returns the head of the skipped answer.
	 * @return the head; null if none was skipped
	 */
	AnswerHead head() {
		return this.skipped;
	}

}
