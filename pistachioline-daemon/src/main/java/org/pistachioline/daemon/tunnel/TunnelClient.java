package org.pistachioline.daemon.tunnel;

import java.util.concurrent.CompletableFuture;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;

import org.pistachioline.adapters.web.Connector;
import org.pistachioline.adapters.web.OpenedConnection;
import org.pistachioline.adapters.web.WebLoop;
import org.pistachioline.protocol.peer.TunnelRequest;
import org.pistachioline.protocol.peer.TunnelResponse;
import org.pistachioline.protocol.peer.TunnelResult;

/**
 * Asks other daemons for connections to targets.
 */
final class TunnelClient {

	/** A daemon that cannot reach the target either answers by its connect timeout. */
	private static final long TIMEOUT_MILLIS = 700;

	private final WebLoop loop;

	private final Connector peerConnector;

	/**
	 * Creates a client.
	 * @param loop the thread on which the tunnels are served
	 * @param peerConnector connects to other daemons, on the same thread
	 */
	TunnelClient(WebLoop loop, Connector peerConnector) {
		this.loop = loop;
		this.peerConnector = peerConnector;
	}

	/**
	 * Opens a tunnel.
	 * @param tunnelAddress the other daemon's address for tunnels, as host and port
	 * @param targetAddress the target's address, as host and port
	 * @return a connection that carries one request to the target; fails with a
	 * {@link TunnelException}
	 */
	CompletableFuture<OpenedConnection> open(String tunnelAddress, String targetAddress) {
		final CompletableFuture<OpenedConnection> tunnel = new CompletableFuture<>();
		final CompletableFuture<OpenedConnection> toPeer = this.peerConnector.connect(tunnelAddress);
		toPeer.whenComplete((opened, failure) -> {
			if (opened != null) {
				requestTunnel(opened.channel(), targetAddress, tunnel);
			}
			else {
				tunnel.completeExceptionally(new TunnelException(TunnelResult.UNKNOWN_RESULT, failure));
			}
		});
		tunnel.whenComplete((opened, failure) -> toPeer.cancel(false));
		this.loop.after(() -> tunnel.completeExceptionally(new TunnelException(TunnelResult.UNKNOWN_RESULT, null)),
				TIMEOUT_MILLIS);
		return tunnel;
	}

	private static void requestTunnel(Channel channel, String targetAddress,
			CompletableFuture<OpenedConnection> tunnel) {
		final TunnelFrames frames = TunnelFrames.addTo(channel.pipeline(), TunnelResponse.getDefaultInstance());
		channel.pipeline().addLast(new ResponseHandler(frames, tunnel));
		tunnel.whenComplete((opened, failure) -> {
			if (failure != null) {
				channel.close();
			}
		});
		channel.writeAndFlush(TunnelRequest.newBuilder().setTargetAddress(targetAddress).build());
	}

	private static final class ResponseHandler extends SimpleChannelInboundHandler<TunnelResponse> {

		private final TunnelFrames frames;

		private final CompletableFuture<OpenedConnection> tunnel;

		ResponseHandler(TunnelFrames frames, CompletableFuture<OpenedConnection> tunnel) {
			this.frames = frames;
			this.tunnel = tunnel;
		}

		@Override
		protected void channelRead0(ChannelHandlerContext ctx, TunnelResponse response) {
			if (response.getResult() != TunnelResult.ESTABLISHED) {
				this.tunnel.completeExceptionally(new TunnelException(response.getResult(), null));
				return;
			}
			this.frames.removeFrom(ctx.pipeline());
			ctx.pipeline().remove(this);
			if (!this.tunnel.complete(new OpenedConnection(ctx.channel(), false))) {
				ctx.close();
			}
		}

		@Override
		public void channelInactive(ChannelHandlerContext ctx) {
			this.tunnel.completeExceptionally(new TunnelException(TunnelResult.UNKNOWN_RESULT, null));
		}

		@Override
		public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
			this.tunnel.completeExceptionally(new TunnelException(TunnelResult.UNKNOWN_RESULT, cause));
		}

	}

}
