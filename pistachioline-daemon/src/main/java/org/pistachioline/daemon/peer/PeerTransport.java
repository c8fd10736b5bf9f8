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
 * Carries frames between daemons: one port that listens, one connection to each peer that
 * is spoken to, closed when it is not used for a while.
 */
public final class PeerTransport implements Lifecycle {

	private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

	private static final WriteBufferWaterMark WATER_MARK = new WriteBufferWaterMark(64 * 1024,
			2 * PeerLimits.MAX_FRAME_BYTES);

	/**
	 * Frames are small and some ten a second: a pool with its arenas would hold megabytes
	 * and load its classes before the first of them.
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
	 * Creates a transport.
	 * @param address where to listen, as host and port
	 * @param tls what secures the links; null for none
	 * @param maxConnections how many connections others may hold here
	 * @param receiver takes each frame, on the transport's thread
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
	 * Returns where this daemon listens.
	 * @return the address, as host and port
	 */
	public String localAddress() {
		final InetSocketAddress local = (InetSocketAddress) this.serverChannel.localAddress();
		return local.getAddress().getHostAddress() + ":" + local.getPort();
	}

	/**
	 * Returns what was sent.
	 * @return the counts
	 */
	public PeerMeter sentMeter() {
		return this.sentMeter;
	}

	/**
	 * Returns what was received.
	 * @return the counts
	 */
	public PeerMeter receivedMeter() {
		return this.receivedMeter;
	}

	/**
	 * Returns how many connections are open, both ways.
	 * @return how many
	 */
	public int connectionCount() {
		return this.connectionCount.openConnections() + this.outboundConnections.size();
	}

	/**
	 * Sends a frame to a peer if its link can take it; otherwise the frame is dropped, as
	 * the next heartbeat brings newer word. Where the link is being made the frame goes
	 * out when it is: were it dropped, each question to a new peer would wait for its
	 * time limit, and so would the answer on the way back.
	 * @param peerAddress the peer's address
	 * @param frame the frame
	 */
	public void send(String peerAddress, PeerFrame frame) {
		final ChannelFuture link = this.outboundConnections.computeIfAbsent(peerAddress, this::connect);
		if (link.isDone()) {
			write(peerAddress, link, frame);
		}
		else {
			// Bounded by the time limit of connecting and what is sent to one peer in it.
			link.addListener((done) -> write(peerAddress, link, frame));
		}
	}

	private void write(String peerAddress, ChannelFuture link, PeerFrame frame) {
		if (!link.isSuccess() || !link.channel().isActive()) {
			this.outboundConnections.remove(peerAddress, link);
			return;
		}
		if (link.channel().isWritable()) {
			this.sentMeter.count(frame);
			link.channel().writeAndFlush(frame, link.channel().voidPromise());
		}
	}

	private ChannelFuture connect(String peerAddress) {
		final ChannelFuture link = new Bootstrap().group(this.eventLoops)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.ALLOCATOR, ALLOCATOR)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK)
			.handler(new PeerChannelInitializer(this.tls, null, this.receiver))
			.connect(socketOf(peerAddress));
		// A link that idles out must not stay in the table, or addresses of daemons long
		// replaced would pile up.
		link.channel().closeFuture().addListener((closed) -> this.outboundConnections.remove(peerAddress, link));
		return link;
	}

	private static InetSocketAddress socketOf(String address) {
		final int colon = address.lastIndexOf(':');
		return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
	}

}
