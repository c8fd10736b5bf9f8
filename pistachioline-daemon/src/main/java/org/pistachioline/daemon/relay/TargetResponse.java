package org.pistachioline.daemon.relay;

import java.util.Set;

import org.pistachioline.adapters.web.AnswerHead;
import org.pistachioline.adapters.web.Body;
import org.pistachioline.adapters.web.WebAnswer;

/**
 * A target's complete response.
 *
 * @param response the response, without hop-by-hop headers
 */
record TargetResponse(WebAnswer response) {

	/**
	 * Statuses by which a caller concludes that its request has not run, which only the
	 * daemon may state.
	 */
	private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);

	static TargetResponse of(AnswerHead head, Body body) {
		return new TargetResponse(new WebAnswer(withoutHopByHopHeaders(head), body));
	}

	static AnswerHead withoutHopByHopHeaders(AnswerHead head) {
		return new AnswerHead(head.status(), HopByHopHeaders.removeFrom(head.headers()));
	}

	/**
	 * Returns the size of the body.
	 * @return the number of bytes
	 */
	int bodyBytes() {
		return this.response.body().sizeBytes();
	}

	/**
	 * Returns whether the status promises that the request has not run.
	 * @return whether callers would conclude so
	 */
	boolean promisesNotRun() {
		return NOT_RUN_STATUSES.contains(this.response.status());
	}

}
