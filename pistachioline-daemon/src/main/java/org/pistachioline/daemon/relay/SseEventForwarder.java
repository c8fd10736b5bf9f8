package org.pistachioline.daemon.relay;

import org.pistachioline.core.traffic.AttemptId;
import org.pistachioline.core.traffic.AttemptOutcome;
import org.pistachioline.daemon.traffic.AttemptListener;

/**
 * Forwards the complete server-sent events of one attempt as they arrive.
 * <p>
 * A target may fail in the middle of an event. A partial event would corrupt the next
 * one, which comes from another target, so only complete events are forwarded. Events
 * whose id the caller has already received are dropped, because a target that resumes one
 * event too early would duplicate them. While the caller is not reading, progress is
 * still reported, so that a slow caller is not mistaken for a stalled target.
 */
final class SseEventForwarder {

	/** Bounds the memory of one stream; the events of engines are far smaller. */
	private static final int MAX_EVENT_BYTES = 256 * 1024;

	/**
	 * Bounds what arrives without an event that the caller does not have yet: comments,
	 * blank lines, and events that a target repeats.
	 */
	private static final int MAX_BYTES_WITHOUT_EVENT = 16 * 1024 * 1024;

	private final AttemptId attempt;

	private final StreamPosition position;

	private final AttemptListener listener;

	private final PartialEvent partialEvent = new PartialEvent();

	private long bytesWithoutEvent;

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
	 * Forwards the events that the received bytes complete and keeps the rest.
	 * @param bytes the received bytes
	 * @param response receives the events that the caller does not have yet
	 * @return false if an incomplete event, or what is not forwarded, exceeds the maximum
	 * size, so that the attempt must be aborted
	 */
	boolean forward(byte[] bytes, CallerResponse response) {
		final int deliveredBefore = this.position.deliveredEvents();
		if (this.partialEvent.sizeBytes() == 0) {
			forwardComplete(bytes, response);
		}
		else if (this.partialEvent.add(bytes)) {
			forwardComplete(this.partialEvent.bytes(), response);
		}
		if (!this.firstEventReported && this.position.deliveredEvents() > deliveredBefore) {
			notifyListener();
		}
		this.bytesWithoutEvent = (this.position.deliveredEvents() > deliveredBefore) ? 0
				: this.bytesWithoutEvent + bytes.length;
		return this.partialEvent.sizeBytes() <= MAX_EVENT_BYTES && this.bytesWithoutEvent <= MAX_BYTES_WITHOUT_EVENT;
	}

	private void forwardComplete(byte[] available, CallerResponse response) {
		this.position.forwardNewEvents(available, response::write);
		this.partialEvent.set(available, this.position.consumedBytes());
	}

	/**
	 * Returns the memory of the event that is not complete.
	 * @return the number of bytes
	 */
	int keptBytes() {
		return this.partialEvent.capacityBytes();
	}

	/**
	 * Discards the event that is not complete.
	 */
	void discardPartialEvent() {
		this.partialEvent.clear();
	}

	/**
	 * Sets whether the caller has stopped reading.
	 * @param blocked whether the caller accepts no more bytes
	 */
	void setCallerBlocked(boolean blocked) {
		this.callerBlocked = blocked;
	}

	/**
	 * Reports progress if events were delivered since the last report, or if the stream
	 * is waiting for the caller rather than for the target.
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
	 * Returns the outcome of an attempt whose response ended without a connection error.
	 * @return {@code BROKEN} if the response ends within an event: a response without a
	 * content length can be cut off at any point and still appear to end normally
	 */
	AttemptOutcome outcomeAtEnd() {
		return this.partialEvent.isBlank() ? AttemptOutcome.COMPLETE : AttemptOutcome.BROKEN;
	}

}
