package org.pistachioline.daemon.tunnel;

import java.net.ConnectException;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DecoderException;
import io.netty.handler.timeout.ReadTimeoutHandler;

import org.pistachioline.adapters.web.OpenedConnection;
import org.pistachioline.core.event.EventId;
import org.pistachioline.daemon.event.Events;
import org.pistachioline.protocol.peer.TunnelRequest;
import org.pistachioline.protocol.peer.TunnelResponse;
import org.pistachioline.protocol.peer.TunnelResult;

/**
 * Connects to the target that another daemon names, and then joins both connections.
 */
final class TunnelRequestHandler extends SimpleChannelInboundHandler<TunnelRequest> {

	private static final long REQUEST_TIMEOUT_MILLIS = 2_000;

	private final TunnelServer server;

	private final TunnelFrames frames;

	private final ReadTimeoutHandler timeout;

	private CompletableFuture<OpenedConnection> toTarget = CompletableFuture.completedFuture(null);

	private TunnelRequestHandler(TunnelServer server, TunnelFrames frames, ReadTimeoutHandler timeout) {
		this.server = server;
		this.frames = frames;
		this.timeout = timeout;
	}

	static void addTo(ChannelPipeline pipeline, TunnelServer server) {
		final ReadTimeoutHandler timeout = new ReadTimeoutHandler(REQUEST_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
		pipeline.addLast(timeout);
		final TunnelFrames frames = TunnelFrames.addTo(pipeline, TunnelRequest.getDefaultInstance());
		pipeline.addLast(new TunnelRequestHandler(server, frames, timeout));
	}

	@Override
	protected void channelRead0(ChannelHandlerContext ctx, TunnelRequest request) {
		final String targetAddress = request.getTargetAddress();
		if (!this.server.isTarget(targetAddress)) {
			reject(ctx.channel(), TunnelResult.UNKNOWN_TARGET);
		}
		else if (!this.server.acceptsTunnels()) {
			reject(ctx.channel(), TunnelResult.OVERLOADED);
		}
		else if (!this.server.reaches(targetAddress)) {
			reject(ctx.channel(), TunnelResult.UNREACHABLE);
		}
		else {
			this.toTarget = this.server.targetConnector().connect(targetAddress);
			this.toTarget.whenComplete((opened, failure) -> {
				if (opened != null) {
					join(ctx.channel(), opened.channel());
				}
				else if (!this.toTarget.isCancelled()) {
					reject(ctx.channel(), isRefusal(failure) ? TunnelResult.REFUSED : TunnelResult.UNREACHABLE);
				}
			});
		}
	}

	private static boolean isRefusal(Throwable failure) {
		return failure instanceof ConnectException && !(failure instanceof ConnectTimeoutException);
	}

	private static void reject(Channel channel, TunnelResult result) {
		channel.writeAndFlush(TunnelResponse.newBuilder().setResult(result).build())
			.addListener(ChannelFutureListener.CLOSE);
	}

	private void join(Channel caller, Channel target) {
		caller.writeAndFlush(TunnelResponse.newBuilder().setResult(TunnelResult.ESTABLISHED).build());
		this.frames.removeFrom(caller.pipeline());
		caller.pipeline().remove(this.timeout);
		caller.pipeline().remove(this);
		TunnelPipe.join(caller, target);
		this.server.onTunnel(caller);
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		this.toTarget.cancel(false);
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		if (cause instanceof DecoderException) {
			Events.log(EventId.PEER_FRAME_REFUSED, cause, "remote", ctx.channel().remoteAddress());
		}
		ctx.close();
	}

}
