package org.pistachioline.daemon.relay;

import java.util.OptionalDouble;

import org.pistachioline.adapters.web.AnswerHead;
import org.pistachioline.daemon.port.RelayProtocol;
import org.pistachioline.daemon.port.ResponseVerdict;

/**
 * Reports what the head of a response says of the target that sent it.
 */
final class TargetReporter {

	private final RelayContext context;

	private final String targetId;

	/**
	 * Creates a reporter for one target.
	 * @param context receives the reports
	 * @param targetId the target's id
	 */
	TargetReporter(RelayContext context, String targetId) {
		this.context = context;
		this.targetId = targetId;
	}

	/**
	 * Reports the target's limit, load and backoff, as far as the head states them.
	 * @param verdict whether the response is the target's own
	 * @param head the head
	 * @param sentAtNanos the monotonic time at which the request was sent
	 */
	void report(ResponseVerdict verdict, AnswerHead head, long sentAtNanos) {
		final RelayProtocol protocol = this.context.protocol();
		reportLimit(verdict, protocol.requestLimit(head), sentAtNanos);
		if (verdict != ResponseVerdict.MISMATCHED) {
			reportLoad(protocol, head);
			reportBackoff(protocol, head);
		}
	}

	// A declined or failed request's response may omit the limit, and a mismatched
	// response is not the target's own, so the absence of a limit is reported for valid
	// responses only.
	private void reportLimit(ResponseVerdict verdict, OptionalDouble requestsPerSecond, long sentAtNanos) {
		final boolean stated = requestsPerSecond.isPresent() && verdict != ResponseVerdict.MISMATCHED;
		if (stated || verdict == ResponseVerdict.VALID) {
			this.context.targetReports().onLimit(this.targetId, sentAtNanos, requestsPerSecond);
		}
	}

	private void reportLoad(RelayProtocol protocol, AnswerHead head) {
		protocol.load(head, System.nanoTime())
			.ifPresent((load) -> this.context.targetReports().onLoad(this.targetId, load));
	}

	private void reportBackoff(RelayProtocol protocol, AnswerHead head) {
		final BackoffGate gate = this.context.backoffGate();
		gate.onBackoff(this.targetId, protocol.backoffMillis(head));
		gate.onCold(this.targetId, protocol.coldRemainingMillis(head));
		if (protocol.isLeaving(head)) {
			gate.onLeaving(this.targetId);
		}
	}

}
