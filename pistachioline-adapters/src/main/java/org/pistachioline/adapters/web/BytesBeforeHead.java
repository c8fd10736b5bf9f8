package org.pistachioline.adapters.web;

import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.TooLongHttpHeaderException;

/**
 * Counts the bytes that arrive before the head of an answer, and the lines of the head.
 * <p>
 * The codec limits each head, but it skips line breaks in front of one, and takes any
 * number of interim answers. Without a limit on their sum a server could send either for
 * ever and keep the request on its connection.
 */
final class BytesBeforeHead extends ChannelInboundHandlerAdapter {

	/** Several heads of the largest size that the codec takes. */
	static final int MAX_BYTES = 64 * 1024;

	private final HeadLines lines = new HeadLines();

	private boolean awaited = true;

	private long receivedBytes;

	void startAwaiting() {
		this.awaited = true;
		this.receivedBytes = 0;
		this.lines.restart();
	}

	void stopAwaiting() {
		this.awaited = false;
	}

	private Optional<Exception> faultIn(ByteBuf received) {
		try {
			return this.lines.count(received) ? Optional.empty() : Optional
				.of(new TooLongHttpHeaderException("More than " + HeadLines.MAX_LINES + " lines of a head were sent"));
		}
		catch (MalformedAnswerException ex) {
			return Optional.of(ex);
		}
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object message) {
		// The answer's head, if it is complete, is seen before the bytes are counted.
		final int bytes = (message instanceof ByteBuf buffer) ? buffer.readableBytes() : 0;
		if (this.awaited && message instanceof ByteBuf buffer) {
			final Optional<Exception> fault = faultIn(buffer);
			if (fault.isPresent()) {
				this.awaited = false;
				buffer.release();
				ctx.fireExceptionCaught(fault.get());
				return;
			}
		}
		ctx.fireChannelRead(message);
		if (this.awaited) {
			this.receivedBytes += bytes;
			if (this.receivedBytes > MAX_BYTES && ctx.channel().isOpen()) {
				this.awaited = false;
				ctx.fireExceptionCaught(new ExcessiveBytesException("an answer's head", MAX_BYTES));
			}
		}
	}

}
