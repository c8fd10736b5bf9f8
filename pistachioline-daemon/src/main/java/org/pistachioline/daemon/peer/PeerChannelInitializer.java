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
 * Sets up the channel pipeline of a peer connection: the connection limit, then TLS, then
 * framing.
 */
final class PeerChannelInitializer extends ChannelInitializer<SocketChannel> {

	private static final int LENGTH_PREFIX_BYTES = 4;

	private final PeerTls tls;

	private final ConnectionLimiter inboundLimiter;

	private final Consumer<PeerFrame> receiver;

	/**
	 * Creates an initializer.
	 * @param tls the TLS contexts; null for plain TCP
	 * @param inboundLimiter limits inbound connections; null for outbound connections
	 * @param receiver receives each frame
	 */
	PeerChannelInitializer(PeerTls tls, ConnectionLimiter inboundLimiter, Consumer<PeerFrame> receiver) {
		this.tls = tls;
		this.inboundLimiter = inboundLimiter;
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
			// Placed after the frame decoder, so that bytes that never form a frame
			// count as idle.
			.addLast(idleHandler(serverSide))
			.addLast(new ProtobufDecoder(PeerFrame.getDefaultInstance()))
			.addLast(new LengthFieldPrepender(LENGTH_PREFIX_BYTES))
			.addLast(new ProtobufEncoder())
			.addLast(new FrameHandler(this.receiver));
	}

	// Frames are only sent on outbound connections and only received on inbound ones.
	private static IdleStateHandler idleHandler(boolean serverSide) {
		return serverSide ? new IdleStateHandler(PeerLimits.IDLE_TIMEOUT_SECONDS, 0, 0)
				: new IdleStateHandler(0, PeerLimits.IDLE_TIMEOUT_SECONDS, 0);
	}

}
