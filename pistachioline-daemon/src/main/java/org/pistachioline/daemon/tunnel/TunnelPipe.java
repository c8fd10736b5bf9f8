package org.pistachioline.daemon.tunnel;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;

/**
 * Forwards the bytes that one end of a tunnel receives to the other end.
 * <p>
 * Each end is closed as the other one was: in order, after all bytes, or by a reset. A
 * response without a length ends with its connection, so a reset that arrived as an
 * orderly close would make a truncated response look complete.
 */
final class TunnelPipe extends ChannelInboundHandlerAdapter {

	private final Channel other;

	private boolean reset;

	TunnelPipe(Channel other) {
		this.other = other;
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object message) {
		this.other.write(message);
	}

	@Override
	public void channelReadComplete(ChannelHandlerContext ctx) {
		this.other.flush();
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext ctx) {
		this.other.config().setAutoRead(ctx.channel().isWritable());
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		if (!this.reset && this.other.isActive()) {
			this.other.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		this.reset = true;
		if (this.other.isOpen()) {
			this.other.config().setOption(ChannelOption.SO_LINGER, 0);
			this.other.close();
		}
		ctx.close();
	}

}
