package org.pistachioline.adapters.web;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Holds the heads of answers against the grammar of HTTP before the codec decodes them.
 * <p>
 * The codec takes much that is no HTTP and makes something sound of it, which cannot be
 * told from what a server meant any more: callers would get a body, a status or a promise
 * that no server has given. Bytes that break the grammar fail their connection and do not
 * reach the codec.
 * <p>
 * It also limits the bytes before the end of a head, since the codec takes any number of
 * empty lines and notices there.
 */
final class AnswerInspector extends ChannelInboundHandlerAdapter {

	/** Several heads of the largest size that the codec takes. */
	static final int MAX_HEAD_BYTES = 64 * 1024;

	private final HeadSection head = new HeadSection();

	private boolean awaited;

	private long headBytes;

	/**
	 * Begins to wait for an answer.
	 */
	void onRequest() {
		this.head.restart();
		this.awaited = true;
		this.headBytes = 0;
	}

	/**
	 * Ends the wait, as the codec has decoded the head.
	 */
	void onHead() {
		this.awaited = false;
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object message) {
		if (!this.awaited || !(message instanceof ByteBuf received)) {
			ctx.fireChannelRead(message);
			return;
		}
		final int bytes = received.readableBytes();
		try {
			this.head.scan(received);
		}
		catch (MalformedAnswerException ex) {
			received.release();
			ctx.fireExceptionCaught(ex);
			return;
		}
		ctx.fireChannelRead(received);
		if (this.awaited) {
			limitHead(ctx, bytes);
		}
	}

	private void limitHead(ChannelHandlerContext ctx, int scannedBytes) {
		this.headBytes += scannedBytes;
		if (this.headBytes > MAX_HEAD_BYTES && ctx.channel().isOpen()) {
			ctx.fireExceptionCaught(new ExcessiveBytesException("an answer's head", MAX_HEAD_BYTES));
		}
	}

}
