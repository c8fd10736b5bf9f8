package org.pistachioline.daemon.peer;

import java.util.function.Consumer;

import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.timeout.IdleStateHandler;

import org.pistachioline.protocol.peer.PeerFrame;

/**
 * Sets up a link: limits first, then TLS, then frames.
 */
final class PeerChannelInitializer extends ChannelInitializer<SocketChannel> {

	private static final int LENGTH_PREFIX_BYTES = 4;

	private final PeerTls tls;

	private final ConnectionLimiter inboundLimiter;

	private final Consumer<PeerFrame> receiver;

	/**
	 * Creates an initializer.
	 * @param tls what secures the link; null for none
	 * @param connections counts connections that others opened; null on this daemon's own
	 * @param receiver takes each frame
	 */
	PeerChannelInitializer(PeerTls tls, ConnectionLimiter connections, Consumer<PeerFrame> receiver) {
		this.tls = tls;
		this.inboundLimiter = connections;
		this.receiver = receiver;
	}

	@Override
	protected void initChannel(SocketChannel channel) {
		final ChannelPipeline pipeline = channel.pipeline();
		final boolean serverSide = this.inboundLimiter != null;
		if (serverSide) {
			pipeline.addLast(this.inboundLimiter);
		}
		if (this.tls != null) {
			pipeline.addLast(this.tls.handler(channel, serverSide));
		}
		pipeline
			.addLast(new LengthFieldBasedFrameDecoder(PeerLimits.MAX_FRAME_BYTES, 0, LENGTH_PREFIX_BYTES, 0,
					LENGTH_PREFIX_BYTES))
			.addLast(new FrameRateLimiter(System::nanoTime))
			// After the decoder, so that bytes which never become a frame count as idle.
			.addLast(idleHandler(serverSide))
			.addLast(new ProtobufDecoder(PeerFrame.getDefaultInstance()))
			.addLast(new LengthFieldPrepender(LENGTH_PREFIX_BYTES))
			.addLast(new ProtobufEncoder())
			.addLast(new FrameHandler(this.receiver));
	}

	// A daemon's own link is only written to, one that was opened to it is only read.
	private static IdleStateHandler idleHandler(boolean serverSide) {
		return serverSide ? new IdleStateHandler(PeerLimits.IDLE_TIMEOUT_SECONDS, 0, 0)
				: new IdleStateHandler(0, PeerLimits.IDLE_TIMEOUT_SECONDS, 0);
	}

}
