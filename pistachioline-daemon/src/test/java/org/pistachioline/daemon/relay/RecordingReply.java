package org.pistachioline.daemon.relay;

import java.util.List;

import org.pistachioline.adapters.web.AnswerHead;
import org.pistachioline.adapters.web.CallerListener;
import org.pistachioline.adapters.web.WebAnswer;
import org.pistachioline.adapters.web.WebReply;

/**
 * Records complete responses; streamed output is not part of the tests that use it.
 *
 * @param responses receives the responses
 * @param arrivedAtNanos when the request was read
 */
record RecordingReply(List<WebAnswer> responses, long arrivedAtNanos) implements WebReply {

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
		// Not recorded.
	}

	@Override
	public void listen(CallerListener listener) {
		// The tests call the listener directly.
	}

}
