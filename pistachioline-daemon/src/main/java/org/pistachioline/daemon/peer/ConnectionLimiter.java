package org.pistachioline.daemon.peer;

import java.util.concurrent.atomic.AtomicInteger;

import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Closes a connection at once where there are too many.
 */
@ChannelHandler.Sharable
final class ConnectionLimiter extends ChannelInboundHandlerAdapter {

	private final int maxConnections;

	private final AtomicInteger openConnections = new AtomicInteger();

	ConnectionLimiter(int maxConnections) {
		this.maxConnections = maxConnections;
	}

	int openConnections() {
		return this.openConnections.get();
	}

	@Override
	public void channelActive(ChannelHandlerContext ctx) {
		if (this.openConnections.incrementAndGet() > this.maxConnections) {
			ctx.close();
			return;
		}
		ctx.fireChannelActive();
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		this.openConnections.decrementAndGet();
		ctx.fireChannelInactive();
	}

}
