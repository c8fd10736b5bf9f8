package org.pistachioline.daemon.tunnel;

import java.io.IOException;
import java.nio.channels.ClosedChannelException;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;

/**
 * Forwards the bytes that one end of a tunnel receives to the other end.
 * <p>
 * Each end is closed as the other one was: in order, after all bytes, or by a reset. A
 * response without a length ends with its connection, so a reset, or the end of this
 * process, that arrived as an orderly close would make a truncated response look
 * complete.
 */
final class TunnelPipe extends ChannelInboundHandlerAdapter {

	/** Longer than a target takes for anything; both ends notice a close far earlier. */
	static final long IDLE_TIMEOUT_MILLIS = 120_000;

	private static final int RESET_ON_CLOSE = 0;

	private static final int ORDERLY_CLOSE = -1;

	private final Channel other;

	private final boolean towardsTarget;

	private boolean reset;

	private TunnelPipe(Channel other, boolean towardsTarget) {
		this.other = other;
		this.towardsTarget = towardsTarget;
	}

	/**
	 * Joins the two ends of a tunnel.
	 * @param caller the connection of the daemon that asked for the tunnel
	 * @param target the connection to the target
	 */
	static void join(Channel caller, Channel target) {
		// Reset by anything but an orderly close of the target, also by the system when
		// this process ends.
		caller.config().setOption(ChannelOption.SO_LINGER, RESET_ON_CLOSE);
		target.pipeline().addLast(new TunnelPipe(caller, false));
		// All bytes of both directions pass this end.
		caller.pipeline()
			.addLast(new IdleStateHandler(0, 0, IDLE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS),
					new TunnelPipe(target, true));
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object message) {
		this.other.write(message).addListener((written) -> {
			if (isBroken(written.cause())) {
				reset(ctx);
			}
		});
	}

	// A reset that a write has reported is not reported to a read again. A channel that
	// is closed already was told so.
	private static boolean isBroken(Throwable failure) {
		return failure instanceof IOException && !(failure instanceof ClosedChannelException);
	}

	@Override
	public void channelReadComplete(ChannelHandlerContext ctx) {
		if (this.towardsTarget) {
			// A reset behind the bytes is reported after this. Flushed at once, a request
			// would reach a target although it has been given up.
			ctx.executor().execute(this::flush);
		}
		else {
			this.other.flush();
		}
	}

	private void flush() {
		if (!this.reset) {
			this.other.flush();
		}
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext ctx) {
		this.other.config().setAutoRead(ctx.channel().isWritable());
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		if (!this.reset && this.other.isActive()) {
			this.other.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener((flushed) -> closeOtherInOrder());
		}
	}

	private void closeOtherInOrder() {
		if (this.other.isOpen()) {
			this.other.config().setOption(ChannelOption.SO_LINGER, ORDERLY_CLOSE);
			this.other.close();
		}
	}

	// A daemon that lost power closes nothing.
	@Override
	public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
		if (event instanceof IdleStateEvent) {
			reset(ctx);
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		reset(ctx);
	}

	private void reset(ChannelHandlerContext ctx) {
		this.reset = true;
		if (this.other.isOpen()) {
			this.other.config().setOption(ChannelOption.SO_LINGER, RESET_ON_CLOSE);
			this.other.close();
		}
		ctx.close();
	}

}
