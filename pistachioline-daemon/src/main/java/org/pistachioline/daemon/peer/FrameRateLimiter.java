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
final class FrameRateLimiter extends ChannelInboundHandlerAdapter {

	private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(1);

	private final LongSupplier clockNanos;

	private long windowStartNanos;

	private int framesInWindow;

	FrameRateLimiter(LongSupplier clock) {
		this.clockNanos = clock;
		this.windowStartNanos = clock.getAsLong();
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object message) {
		final long nowNanos = this.clockNanos.getAsLong();
		if (nowNanos - this.windowStartNanos >= WINDOW_NANOS) {
			this.windowStartNanos = nowNanos;
			this.framesInWindow = 0;
		}
		this.framesInWindow++;
		if (this.framesInWindow > PeerLimits.MAX_FRAMES_PER_SECOND) {
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
