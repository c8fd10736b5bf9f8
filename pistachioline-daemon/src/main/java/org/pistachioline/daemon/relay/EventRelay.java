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
final class EventRelay {

	/** No event of the engines is near this size; it bounds the memory of one stream. */
	private static final int LARGEST_EVENT_BYTES = 256 * 1024;

	private static final byte[] NOTHING = new byte[0];

	private final AttemptId attempt;

	private final StreamPosition position;

	private final AttemptListener listener;

	private byte[] rest = NOTHING;

	private boolean told;

	private boolean callerIsSlow;

	private int toldEvents;

	EventRelay(AttemptId attempt, StreamPosition position, AttemptListener listener) {
		this.attempt = attempt;
		this.position = position;
		this.listener = listener;
		this.toldEvents = position.events();
	}

	/**
	 * Takes what has arrived.
	 * @param bytes the bytes
	 * @param answer takes the events that the caller does not have yet
	 * @return whether the target goes on; not if it sends an event without an end
	 */
	boolean take(byte[] bytes, CallerAnswer answer) {
		final byte[] all = (this.rest.length == 0) ? bytes : join(this.rest, bytes);
		final int before = this.position.events();
		this.position.pass(all, answer::piece);
		final int consumed = this.position.consumedBytes();
		this.rest = (consumed == all.length) ? NOTHING : Arrays.copyOfRange(all, consumed, all.length);
		if (!this.told && this.position.events() > before) {
			tell();
		}
		return this.rest.length <= LARGEST_EVENT_BYTES;
	}

	private static byte[] join(byte[] first, byte[] second) {
		final byte[] all = Arrays.copyOf(first, first.length + second.length);
		System.arraycopy(second, 0, all, first.length, second.length);
		return all;
	}

	/**
	 * Says whether the caller has ceased to read.
	 * @param slow whether it has
	 */
	void callerIsSlow(boolean slow) {
		this.callerIsSlow = slow;
	}

	/**
	 * Tells of progress where there was some, or where the caller is what there is to
	 * wait for.
	 */
	void report() {
		if (this.told && (this.callerIsSlow || this.position.events() > this.toldEvents)) {
			tell();
		}
	}

	private void tell() {
		this.told = true;
		this.toldEvents = this.position.events();
		this.listener.onProgress(this.attempt, this.toldEvents);
	}

	/**
	 * Returns how the attempt ended, where the target's answer ended in order.
	 * @return the end; an answer without a length may stop anywhere and still end so
	 */
	AttemptOutcome endInOrder() {
		return new String(this.rest, StandardCharsets.UTF_8).isBlank() ? AttemptOutcome.COMPLETE
				: AttemptOutcome.BROKEN;
	}

}
