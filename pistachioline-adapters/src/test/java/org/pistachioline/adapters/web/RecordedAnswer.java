package org.pistachioline.adapters.web;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

/**
 * Keeps what a receiver is told.
 */
final class RecordedAnswer implements AnswerReceiver {

	private final ByteArrayOutputStream body = new ByteArrayOutputStream();

	/** Whether the request may leave when its connection is made. */
	boolean wanted = true;

	private AnswerHead head;

	private Throwable failure;

	private int ends;

	@Override
	public boolean onSending() {
		return this.wanted;
	}

	@Override
	public void onHead(AnswerHead received) {
		this.head = received;
	}

	@Override
	public void onBytes(byte[] bytes) {
		this.body.writeBytes(bytes);
	}

	@Override
	public void onBatchEnd() {
		// What was received is kept until it is asked for.
	}

	@Override
	public void onEnd() {
		this.ends++;
	}

	@Override
	public void onFailure(Throwable reason) {
		this.ends++;
		this.failure = reason;
	}

	AnswerHead head() {
		return this.head;
	}

	String body() {
		return this.body.toString(StandardCharsets.US_ASCII);
	}

	Throwable failure() {
		return this.failure;
	}

	int ends() {
		return this.ends;
	}

}
