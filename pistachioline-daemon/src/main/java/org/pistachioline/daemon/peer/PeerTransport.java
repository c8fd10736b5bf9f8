package org.pistachioline.daemon.peer;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;

import org.pistachioline.daemon.Lifecycle;
import org.pistachioline.protocol.peer.PeerFrame;

/**
 * Carries frames between daemons: one port that listens, one connection to each peer.
 */
public final class PeerTransport implements Lifecycle {

	private static final int MAX_FRAME_BYTES = 1024 * 1024;

	private static final int LENGTH_BYTES = 4;

	private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

	private static final WriteBufferWaterMark WATER_MARK = new WriteBufferWaterMark(64 * 1024, 2 * MAX_FRAME_BYTES);

	private final String address;

	private final Consumer<PeerFrame> receiver;

	private final Map<String, ChannelFuture> links = new ConcurrentHashMap<>();

	private final EventLoopGroup loops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private Channel server;

	/**
	 * Creates a transport.
	 * @param address where to listen, as host and port
	 * @param receiver takes each frame, on the transport's thread
	 */
	public PeerTransport(String address, Consumer<PeerFrame> receiver) {
		this.address = address;
		this.receiver = receiver;
	}

	@Override
	public void start() {
		this.server = new ServerBootstrap().group(this.loops)
			.channel(NioServerSocketChannel.class)
			.childHandler(new FrameInitializer(this.receiver))
			.bind(socketOf(this.address))
			.syncUninterruptibly()
			.channel();
	}

	@Override
	public void stop() {
		if (this.server != null) {
			this.server.close().syncUninterruptibly();
		}
		this.loops.shutdownGracefully(0, 1, java.util.concurrent.TimeUnit.SECONDS);
	}

	/**
	 * Returns where this daemon listens.
	 * @return the address, as host and port
	 */
	public String localAddress() {
		final InetSocketAddress local = (InetSocketAddress) this.server.localAddress();
		return local.getAddress().getHostAddress() + ":" + local.getPort();
	}

	/**
	 * Sends a frame to a peer if its link can take it; otherwise the frame is dropped, as
	 * the next heartbeat brings newer word.
	 * @param peerAddress the peer's address
	 * @param frame the frame
	 */
	public void send(String peerAddress, PeerFrame frame) {
		final ChannelFuture link = this.links.computeIfAbsent(peerAddress, this::connect);
		if (!link.isDone()) {
			return;
		}
		if (!link.isSuccess() || !link.channel().isActive()) {
			this.links.remove(peerAddress, link);
			return;
		}
		if (link.channel().isWritable()) {
			link.channel().writeAndFlush(frame, link.channel().voidPromise());
		}
	}

	private ChannelFuture connect(String peerAddress) {
		return new Bootstrap().group(this.loops)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK)
			.handler(new FrameInitializer(this.receiver))
			.connect(socketOf(peerAddress));
	}

	private static InetSocketAddress socketOf(String address) {
		final int colon = address.lastIndexOf(':');
		return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
	}

	private static final class FrameInitializer extends ChannelInitializer<SocketChannel> {

		private final Consumer<PeerFrame> receiver;

		FrameInitializer(Consumer<PeerFrame> receiver) {
			this.receiver = receiver;
		}

		@Override
		protected void initChannel(SocketChannel channel) {
			channel.pipeline()
				.addLast(new LengthFieldBasedFrameDecoder(MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
				.addLast(new ProtobufDecoder(PeerFrame.getDefaultInstance()))
				.addLast(new LengthFieldPrepender(LENGTH_BYTES))
				.addLast(new ProtobufEncoder())
				.addLast(new FrameHandler(this.receiver));
		}

	}

}
