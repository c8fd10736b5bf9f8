package org.pistachioline.daemon.peer;

import java.util.function.Consumer;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.timeout.IdleStateEvent;

import org.pistachioline.core.event.EventId;
import org.pistachioline.daemon.event.Events;
import org.pistachioline.protocol.peer.PeerFrame;

/**
 * Passes received frames on, and closes a connection that is idle or sends bytes that
 * cannot be decoded.
 */
final class FrameHandler extends SimpleChannelInboundHandler<PeerFrame> {

	private final Consumer<PeerFrame> receiver;

	FrameHandler(Consumer<PeerFrame> receiver) {
		this.receiver = receiver;
	}

	@Override
	protected void channelRead0(ChannelHandlerContext ctx, PeerFrame frame) {
		this.receiver.accept(frame);
	}

	@Override
	public void userEventTriggered(ChannelHandlerContext ctx, Object event) throws Exception {
		if (event instanceof IdleStateEvent) {
			ctx.close();
			return;
		}
		super.userEventTriggered(ctx, event);
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		if (cause instanceof DecoderException) {
			Events.log(EventId.PEER_FRAME_REFUSED, cause, "remote", ctx.channel().remoteAddress());
		}
		ctx.close();
	}

}
