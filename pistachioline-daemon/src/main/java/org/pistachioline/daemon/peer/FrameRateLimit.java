package org.pistachioline.daemon.peer;

import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.TooLongFrameException;

import org.pistachioline.core.event.EventId;
import org.pistachioline.daemon.event.Events;

/**
 * Closes a connection that brings frames faster than any peer does.
 */
final class FrameRateLimit extends ChannelInboundHandlerAdapter {

	private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(1);

	private final LongSupplier clock;

	private long windowAtNanos;

	private int frames;

	FrameRateLimit(LongSupplier clock) {
		this.clock = clock;
		this.windowAtNanos = clock.getAsLong();
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object message) {
		final long nowNanos = this.clock.getAsLong();
		if (nowNanos - this.windowAtNanos >= WINDOW_NANOS) {
			this.windowAtNanos = nowNanos;
			this.frames = 0;
		}
		this.frames++;
		if (this.frames > PeerLimits.MAX_FRAMES_PER_SECOND) {
			io.netty.util.ReferenceCountUtil.release(message);
			if (ctx.channel().isOpen()) {
				Events.log(EventId.PEER_FRAME_REFUSED, new TooLongFrameException("too many frames a second"), "remote",
						ctx.channel().remoteAddress());
				ctx.close();
			}
			return;
		}
		ctx.fireChannelRead(message);
	}

}
