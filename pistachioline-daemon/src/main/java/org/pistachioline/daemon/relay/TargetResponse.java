package org.pistachioline.daemon.relay;

import java.util.Set;

import org.pistachioline.adapters.web.AnswerHead;
import org.pistachioline.adapters.web.Body;
import org.pistachioline.adapters.web.WebAnswer;

/**
 * A target's whole answer.
 *
 * @param response the answer, without the headers of its connection
 */
record TargetResponse(WebAnswer response) {

	/**
	 * To a caller these say that its request has not run, which only a daemon may say.
	 */
	private static final Set<Integer> NOT_RUN_STATUSES = Set.of(408, 421, 429, 503);

	static TargetResponse of(AnswerHead head, byte[] body) {
		return new TargetResponse(new WebAnswer(withoutHopByHopHeaders(head), Body.of(body)));
	}

	static AnswerHead withoutHopByHopHeaders(AnswerHead head) {
		return new AnswerHead(head.status(), HopByHopHeaders.removeFrom(head.headers()));
	}

	/**
	 * Returns whether the status claims that the request has not run.
	 * @return whether it does
	 */
	boolean promisesNotRun() {
		return NOT_RUN_STATUSES.contains(this.response.status());
	}

}
