package org.pistachioline.daemon.relay;

import java.util.List;
import java.util.concurrent.atomic.AtomicLong;

import org.pistachioline.adapters.web.AnswerHead;
import org.pistachioline.adapters.web.CallerListener;
import org.pistachioline.adapters.web.WebAnswer;
import org.pistachioline.adapters.web.WebReply;

/**
 * Records complete responses; streamed output is not part of the tests that use it.
 *
 * @param responses receives the responses
 * @param arrivedAtNanos when the request was read
 * @param heldBytes counts the bytes that are kept for responses
 */
record RecordingReply(List<WebAnswer> responses, long arrivedAtNanos, AtomicLong heldBytes) implements WebReply {

	RecordingReply(List<WebAnswer> responses, long arrivedAtNanos) {
		this(responses, arrivedAtNanos, new AtomicLong());
	}

	@Override
	public void whole(WebAnswer response) {
		this.responses.add(response);
	}

	@Override
	public void begin(AnswerHead head) {
		// Not recorded.
	}

	@Override
	public void piece(byte[] bytes, int offset, int length) {
		// Not recorded.
	}

	@Override
	public void flush() {
		// Not recorded.
	}

	@Override
	public void end() {
		// Not recorded.
	}

	@Override
	public void breakOff() {
		// Not recorded.
	}

	@Override
	public boolean writable() {
		return true;
	}

	@Override
	public boolean callerWaits() {
		return true;
	}

	@Override
	public void hold(int bytes) {
		this.heldBytes.addAndGet(bytes);
	}

	@Override
	public void listen(CallerListener listener) {
		// The tests call the listener directly.
	}

}
