package org.pistachioline.adapters.web;

import java.io.ByteArrayOutputStream;
import java.util.concurrent.CompletableFuture;

/**
 * Collects an answer until it is whole.
 */
final class WholeAnswer implements AnswerReceiver {

	/**
	 * More than any page of the store; it bounds what one answer can take of the memory.
	 */
	private static final int MOST_BYTES = 32 * 1024 * 1024;

	private final CompletableFuture<WebAnswer> answer;

	private final ByteArrayOutputStream body = new ByteArrayOutputStream();

	private AnswerHead head;

	WholeAnswer(CompletableFuture<WebAnswer> answer) {
		this.answer = answer;
	}

	@Override
	public void onHead(AnswerHead received) {
		this.head = received;
	}

	@Override
	public void onBytes(byte[] bytes) {
		if (this.body.size() + bytes.length > MOST_BYTES) {
			this.answer.completeExceptionally(new ExcessiveBytesException("an answer", MOST_BYTES));
			return;
		}
		this.body.writeBytes(bytes);
	}

	@Override
	public void onBatchEnd() {
		// Nothing is done before the end.
	}

	@Override
	public void onEnd() {
		this.answer.complete(new WebAnswer(this.head, Body.of(this.body.toByteArray())));
	}

	@Override
	public void onFailure(Throwable failure) {
		this.answer.completeExceptionally(failure);
	}

}
