package org.pistachioline.adapters.web;

import java.util.ArrayList;
import java.util.List;

/**
 * Keeps what a connection asks and answers nothing by itself.
 */
final class RecordingHandler implements WebHandler, CallerListener {

	private final List<WebRequest> requests = new ArrayList<>();

	private final List<WebReply> replies = new ArrayList<>();

	private final List<CloseCause> closings = new ArrayList<>();

	private final List<String> unhandled = new ArrayList<>();

	private int gone;

	@Override
	public void handle(WebRequest request, WebReply reply) {
		this.requests.add(request);
		this.replies.add(reply);
		reply.listen(this);
	}

	@Override
	public void onUnhandled(WebRequest request, CloseCause cause) {
		this.unhandled.add(request.path() + ' ' + cause.code());
	}

	@Override
	public void onClosing(CloseCause cause) {
		this.closings.add(cause);
	}

	@Override
	public void onGone() {
		this.gone++;
	}

	@Override
	public void onWritable(boolean writable) {
		// The connections of these tests take everything.
	}

	List<WebRequest> requests() {
		return this.requests;
	}

	WebReply reply(int number) {
		return this.replies.get(number);
	}

	List<CloseCause> closings() {
		return this.closings;
	}

	List<String> unhandled() {
		return this.unhandled;
	}

	int gone() {
		return this.gone;
	}

}
