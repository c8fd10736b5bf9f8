package org.pistachioline.daemon.peer;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;

import org.pistachioline.daemon.Lifecycle;
import org.pistachioline.protocol.peer.PeerFrame;

/**
 * Transfers frames between daemons. It listens on one port and opens one outbound
 * connection to each peer that it sends to, which is closed after a period without use.
 */
public final class PeerTransport implements Lifecycle {

	private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

	private static final WriteBufferWaterMark WATER_MARK = new WriteBufferWaterMark(64 * 1024,
			2 * PeerLimits.MAX_FRAME_BYTES);

	/**
	 * Frames are small and only about ten are sent per second. A pooled allocator would
	 * hold megabytes of arenas and load its classes before the first frame.
	 */
	private static final ByteBufAllocator ALLOCATOR = new UnpooledByteBufAllocator(false, true);

	private final String address;

	private final PeerTls tls;

	private final Consumer<PeerFrame> receiver;

	private final ConnectionLimiter connectionCount;

	private final PeerMeter sentMeter = new PeerMeter();

	private final PeerMeter receivedMeter = new PeerMeter();

	private final Map<String, ChannelFuture> outboundConnections = new ConcurrentHashMap<>();

	private final EventLoopGroup eventLoops = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private Channel serverChannel;

	/**
	 * Creates a transport that does not listen yet.
	 * @param address the listen address, as host and port
	 * @param tls the TLS contexts; null for plain TCP
	 * @param maxConnections the maximum number of inbound connections
	 * @param receiver receives each frame, on the transport's thread
	 */
	public PeerTransport(String address, PeerTls tls, int maxConnections, Consumer<PeerFrame> receiver) {
		this.address = address;
		this.tls = tls;
		this.connectionCount = new ConnectionLimiter(maxConnections);
		this.receiver = (frame) -> {
			this.receivedMeter.count(frame);
			receiver.accept(frame);
		};
	}

	@Override
	public void start() {
		this.serverChannel = new ServerBootstrap().group(this.eventLoops)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.ALLOCATOR, ALLOCATOR)
			.childOption(ChannelOption.ALLOCATOR, ALLOCATOR)
			.childHandler(new PeerChannelInitializer(this.tls, this.connectionCount, this.receiver))
			.bind(socketOf(this.address))
			.syncUninterruptibly()
			.channel();
	}

	@Override
	public void stop() {
		if (this.serverChannel != null) {
			this.serverChannel.close().syncUninterruptibly();
		}
		this.eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS);
	}

	/**
	 * Returns the address on which this daemon listens.
	 * @return the address, as host and port
	 */
	public String localAddress() {
		final InetSocketAddress local = (InetSocketAddress) this.serverChannel.localAddress();
		return local.getAddress().getHostAddress() + ":" + local.getPort();
	}

	/**
	 * Returns the meter of sent frames.
	 * @return the meter
	 */
	public PeerMeter sentMeter() {
		return this.sentMeter;
	}

	/**
	 * Returns the meter of received frames.
	 * @return the meter
	 */
	public PeerMeter receivedMeter() {
		return this.receivedMeter;
	}

	/**
	 * Returns the number of open connections, inbound and outbound.
	 * @return the number of connections
	 */
	public int connectionCount() {
		return this.connectionCount.openConnections() + this.outboundConnections.size();
	}

	/**
	 * Sends a frame to a peer. The frame is dropped if the connection cannot accept it,
	 * as the next heartbeat carries newer data. While the connection is being
	 * established, frames are queued: if they were dropped, each request to a new peer
	 * would wait for its timeout, and so would the response on the way back.
	 * @param peerAddress the peer's address, as host and port
	 * @param frame the frame
	 */
	public void send(String peerAddress, PeerFrame frame) {
		final ChannelFuture connection = this.outboundConnections.computeIfAbsent(peerAddress, this::connect);
		if (connection.isDone()) {
			write(peerAddress, connection, frame);
		}
		else {
			// Bounded by what is sent to one peer within the connect timeout.
			connection.addListener((connected) -> write(peerAddress, connection, frame));
		}
	}

	/**
	 * Closes the connection to a peer; the next frame to it opens another one.
	 * @param peerAddress the peer's address, as host and port
	 */
	public void disconnect(String peerAddress) {
		final ChannelFuture connection = this.outboundConnections.remove(peerAddress);
		if (connection != null) {
			connection.channel().close();
		}
	}

	private void write(String peerAddress, ChannelFuture connection, PeerFrame frame) {
		if (!connection.isSuccess() || !connection.channel().isActive()) {
			this.outboundConnections.remove(peerAddress, connection);
			return;
		}
		if (connection.channel().isWritable()) {
			this.sentMeter.count(frame);
			connection.channel().writeAndFlush(frame, connection.channel().voidPromise());
		}
	}

	private ChannelFuture connect(String peerAddress) {
		final ChannelFuture connection = new Bootstrap().group(this.eventLoops)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.ALLOCATOR, ALLOCATOR)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK)
			.handler(new PeerChannelInitializer(this.tls, null, this.receiver))
			.connect(socketOf(peerAddress));
		// Removes connections closed for idleness; otherwise the addresses of replaced
		// daemons would accumulate.
		connection.channel()
			.closeFuture()
			.addListener((closed) -> this.outboundConnections.remove(peerAddress, connection));
		return connection;
	}

	private static InetSocketAddress socketOf(String address) {
		final int colon = address.lastIndexOf(':');
		return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
	}

}
