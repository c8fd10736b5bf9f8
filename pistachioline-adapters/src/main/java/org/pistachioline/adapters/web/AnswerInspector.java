package org.pistachioline.adapters.web;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.TooLongHttpHeaderException;

/**
 * Holds answers against the grammar of HTTP before the codec decodes them.
 * <p>
 * The codec accepts much that is not valid HTTP and turns it into a valid message. Behind
 * it, that message cannot be distinguished from one that was sent correctly, and a caller
 * would receive a status, a body or a refusal that its target has not sent. Bytes that
 * violate the grammar fail the request and do not reach the codec.
 * <p>
 * It also limits the bytes before the end of a head, since the codec takes any number of
 * empty lines and interim answers there, and reports bytes that belong to no answer:
 * where they make no message, they would wait in the codec for the rest of the next
 * answer.
 */
final class AnswerInspector extends ChannelInboundHandlerAdapter {

	/** Several heads of the largest size that the codec takes. */
	static final int MAX_HEAD_BYTES = 64 * 1024;

	private static final AnswerSection NO_ANSWER = new SizedBody(0);

	private final Runnable surplusListener;

	private final HeadSection head = new HeadSection();

	private AnswerSection section = NO_ANSWER;

	private long headBytes;

	/**
	 * Creates a handler that is placed before the codec.
	 * @param surplusListener is called when bytes were received that belong to no answer
	 */
	AnswerInspector(Runnable surplusListener) {
		this.surplusListener = surplusListener;
	}

	/**
	 * Begins to wait for an answer.
	 */
	void onRequest() {
		this.head.restart();
		this.section = this.head;
		this.headBytes = 0;
	}

	/**
	 * Takes over from the codec how the answer's body ends.
	 * @param decoded the head of the answer
	 */
	void onHead(HttpResponse decoded) {
		if (HttpUtil.isTransferEncodingChunked(decoded)) {
			this.section = new ChunkedBody();
		}
		else if (HttpUtil.isContentLengthSet(decoded)) {
			this.section = new SizedBody(HttpUtil.getContentLength(decoded));
		}
		else {
			this.section = new UnsizedBody();
		}
	}

	/**
	 * Ends the answer, also one without a body whose head states a length.
	 */
	void onEnd() {
		this.section = NO_ANSWER;
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object message) {
		if (!(message instanceof ByteBuf received)) {
			ctx.fireChannelRead(message);
			return;
		}
		try {
			inspect(ctx, received);
		}
		catch (MalformedAnswerException | TooLongHttpHeaderException ex) {
			ctx.fireExceptionCaught(ex);
		}
		finally {
			received.release();
		}
	}

	// The codec gets the head before the body is scanned, as the head says how it ends.
	private void inspect(ChannelHandlerContext ctx, ByteBuf received) throws MalformedAnswerException {
		while (received.isReadable() && ctx.channel().isOpen()) {
			final boolean surplus = this.section.hasEnded();
			final int begin = received.readerIndex();
			final int end = surplus ? received.writerIndex() : this.section.scan(received, begin);
			final boolean last = end == received.writerIndex();
			ctx.fireChannelRead(last ? received.retain() : received.readRetainedSlice(end - begin));
			if (surplus) {
				this.surplusListener.run();
			}
			else if (this.section == this.head) {
				limitHead(ctx, end - begin);
			}
			if (last) {
				return;
			}
		}
	}

	private void limitHead(ChannelHandlerContext ctx, int scannedBytes) {
		this.headBytes += scannedBytes;
		if (this.headBytes > MAX_HEAD_BYTES && ctx.channel().isOpen()) {
			ctx.fireExceptionCaught(new ExcessiveBytesException("an answer's head", MAX_HEAD_BYTES));
		}
	}

}
