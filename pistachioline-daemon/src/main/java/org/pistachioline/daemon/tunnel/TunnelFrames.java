package org.pistachioline.daemon.tunnel;

import java.util.List;

import com.google.protobuf.MessageLite;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;

/**
 * The framing of the two messages that establish a tunnel, which is removed afterwards.
 */
final class TunnelFrames {

	private static final int LENGTH_PREFIX_BYTES = 4;

	private static final int MAX_FRAME_BYTES = 512;

	private final List<ChannelHandler> handlers;

	private TunnelFrames(List<ChannelHandler> handlers) {
		this.handlers = handlers;
	}

	/**
	 * Adds the framing to a connection.
	 * @param pipeline the connection's pipeline
	 * @param received the type of message that is received
	 * @return the framing, to be removed from the same pipeline
	 */
	static TunnelFrames addTo(ChannelPipeline pipeline, MessageLite received) {
		final List<ChannelHandler> handlers = List.of(
				new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_PREFIX_BYTES, 0, LENGTH_PREFIX_BYTES),
				new ProtobufDecoder(received), new LengthFieldPrepender(LENGTH_PREFIX_BYTES), new ProtobufEncoder());
		handlers.forEach(pipeline::addLast);
		return new TunnelFrames(handlers);
	}

	void removeFrom(ChannelPipeline pipeline) {
		this.handlers.forEach(pipeline::remove);
	}

}
