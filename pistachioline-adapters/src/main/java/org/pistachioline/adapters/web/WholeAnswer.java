package org.pistachioline.adapters.web;

import java.io.ByteArrayOutputStream;
import java.util.concurrent.CompletableFuture;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Collects an answer until it is whole.
 */
final class WholeAnswer implements AnswerReceiver {

	private final CompletableFuture<WebAnswer> answer;

	private final int maxBodyBytes;

	private CollectedBytes body = new CollectedBytes();

	private AnswerHead head;

	/**
	 * Creates a receiver.
	 * @param answer completes with the answer; fails with an
	 * {@link ExcessiveBytesException} if its body is too large
	 * @param maxBodyBytes the largest body
	 */
	WholeAnswer(CompletableFuture<WebAnswer> answer, int maxBodyBytes) {
		this.answer = answer;
		this.maxBodyBytes = maxBodyBytes;
	}

	@Override
	public void onHead(AnswerHead received) {
		this.head = received;
	}

	@Override
	public void onBytes(byte[] bytes) {
		if (bytes.length > this.maxBodyBytes - this.body.size()) {
			// What follows until the connection is closed is discarded too.
			this.body = new CollectedBytes();
			this.answer.completeExceptionally(new ExcessiveBytesException("an answer", this.maxBodyBytes));
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
		this.answer.complete(new WebAnswer(this.head, Body.of(this.body.content())));
	}

	@Override
	public void onFailure(Throwable failure) {
		this.answer.completeExceptionally(failure);
	}

	/**
	 * Bytes that are copied once, when they are complete.
	 */
	private static final class CollectedBytes extends ByteArrayOutputStream {

		ByteBuf content() {
			return Unpooled.wrappedBuffer(this.buf, 0, this.count);
		}

	}

}
