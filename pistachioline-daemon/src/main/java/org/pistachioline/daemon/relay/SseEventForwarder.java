package org.pistachioline.daemon.relay;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

import org.pistachioline.core.traffic.AttemptId;
import org.pistachioline.core.traffic.AttemptOutcome;
import org.pistachioline.daemon.traffic.AttemptListener;

/**
 * Passes the whole events of one attempt on, as they arrive.
 * <p>
 * A target may stop in the middle of an event. The half would spoil the next one, which
 * comes from another target, so only whole events leave. Events that the caller has
 * already, by their ids, are dropped: a target that resumes one too early would double
 * them. While the caller reads slowly it tells of progress all the same, so that a slow
 * caller is not taken for a target that stands still.
 */
final class SseEventForwarder {

	/** No event of the engines is near this size; it bounds the memory of one stream. */
	private static final int MAX_EVENT_BYTES = 256 * 1024;

	private static final byte[] NO_BYTES = new byte[0];

	private final AttemptId attempt;

	private final StreamPosition position;

	private final AttemptListener listener;

	private byte[] partialEvent = NO_BYTES;

	private boolean firstEventReported;

	private boolean callerBlocked;

	private int reportedEvents;

	SseEventForwarder(AttemptId attempt, StreamPosition position, AttemptListener listener) {
		this.attempt = attempt;
		this.position = position;
		this.listener = listener;
		this.reportedEvents = position.deliveredEvents();
	}

	/**
	 * Takes what has arrived.
	 * @param bytes the bytes
	 * @param answer takes the events that the caller does not have yet
	 * @return whether the target goes on; not if it sends an event without an end
	 */
	boolean forward(byte[] bytes, CallerResponse answer) {
		final byte[] all = (this.partialEvent.length == 0) ? bytes : concatenate(this.partialEvent, bytes);
		final int before = this.position.deliveredEvents();
		this.position.forwardNewEvents(all, answer::write);
		final int consumed = this.position.consumedBytes();
		this.partialEvent = (consumed == all.length) ? NO_BYTES : Arrays.copyOfRange(all, consumed, all.length);
		if (!this.firstEventReported && this.position.deliveredEvents() > before) {
			notifyListener();
		}
		return this.partialEvent.length <= MAX_EVENT_BYTES;
	}

	private static byte[] concatenate(byte[] first, byte[] second) {
		final byte[] all = Arrays.copyOf(first, first.length + second.length);
		System.arraycopy(second, 0, all, first.length, second.length);
		return all;
	}

	/**
	 * Says whether the caller has ceased to read.
	 * @param slow whether it has
	 */
	void callerBlocked(boolean slow) {
		this.callerBlocked = slow;
	}

	/**
	 * Tells of progress where there was some, or where the caller is what there is to
	 * wait for.
	 */
	void reportProgress() {
		if (this.firstEventReported && (this.callerBlocked || this.position.deliveredEvents() > this.reportedEvents)) {
			notifyListener();
		}
	}

	private void notifyListener() {
		this.firstEventReported = true;
		this.reportedEvents = this.position.deliveredEvents();
		this.listener.onProgress(this.attempt, this.reportedEvents);
	}

	/**
	 * Returns how the attempt ended, where the target's answer ended in order.
	 * @return the end; an answer without a length may stop anywhere and still end so
	 */
	AttemptOutcome outcomeAtEnd() {
		return new String(this.partialEvent, StandardCharsets.UTF_8).isBlank() ? AttemptOutcome.COMPLETE
				: AttemptOutcome.BROKEN;
	}

}
