package org.pistachioline.daemon.peer;

import java.util.concurrent.atomic.AtomicInteger;

import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Closes a connection at once where there are too many.
 */
@ChannelHandler.Sharable
final class ConnectionLimit extends ChannelInboundHandlerAdapter {

	private final int maxConnections;

	private final AtomicInteger connections = new AtomicInteger();

	ConnectionLimit(int maxConnections) {
		this.maxConnections = maxConnections;
	}

	int connections() {
		return this.connections.get();
	}

	@Override
	public void channelActive(ChannelHandlerContext ctx) {
		if (this.connections.incrementAndGet() > this.maxConnections) {
			ctx.close();
			return;
		}
		ctx.fireChannelActive();
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		this.connections.decrementAndGet();
		ctx.fireChannelInactive();
	}

}
