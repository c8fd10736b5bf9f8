package org.pistachioline.daemon.relay;

import java.util.Set;

import org.pistachioline.adapters.web.AnswerHead;
import org.pistachioline.adapters.web.Body;
import org.pistachioline.adapters.web.WebAnswer;

/**
 * A target's whole answer.
 *
 * @param answer the answer, without the headers of its connection
 */
record TargetAnswer(WebAnswer answer) {

	/**
	 * To a caller these say that its request has not run, which only a daemon may say.
	 */
	private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);

	static TargetAnswer of(AnswerHead head, byte[] body) {
		return new TargetAnswer(new WebAnswer(passedOn(head), Body.of(body)));
	}

	static AnswerHead passedOn(AnswerHead head) {
		return new AnswerHead(head.status(), ConnectionHeaders.passedOn(head.headers()));
	}

	/**
	 * Returns whether the status claims that the request has not run.
	 * @return whether it does
	 */
	boolean promisesNotRun() {
		return PROMISES.contains(this.answer.status());
	}

}
