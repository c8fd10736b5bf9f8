package org.pistachioline.adapters.web;

import java.util.concurrent.Executor;
import java.util.concurrent.Future;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.IoEventLoop;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.SingleThreadIoEventLoop;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;
import io.netty.util.concurrent.RejectedExecutionHandlers;

/**
 * One thread that serves connections.
 * <p>
 * Everything that belongs to one caller's request, on its connection and on its target's,
 * runs on this thread: an event passes from one to the other without a hand-over, and the
 * state of a request needs no lock. It is made for machines with one core or less, where
 * a second thread would only wait for that core.
 */
public final class WebLoop implements Executor, AutoCloseable {

	/**
	 * Heap buffers that the collector frees. The processes' direct memory is a few MB,
	 * and pools with their arenas take as much before the first request, and more
	 * classes.
	 */
	private static final ByteBufAllocator ALLOCATOR = new UnpooledByteBufAllocator(false, true);

	/** Time for closed connections to send what they still hold. */
	private static final long CLOSE_MILLIS = 200;

	/**
	 * Connections that wait to be accepted; a burst of callers brings hundreds at once.
	 */
	private static final int BACKLOG = 1_024;

	/**
	 * Time for tasks before connections are read again. A loop that runs late has
	 * hundreds of them, and callers who leave must not wait for all.
	 */
	private static final long TASK_MILLIS = 50;

	/** One caller with a long body must not keep the others waiting. */
	private static final int MOST_READS = 16;

	/** The size of the first read from a connection, which most requests fit into. */
	private static final int FIRST_READ_BYTES = 2_048;

	private static final int LEAST_READ_BYTES = 64;

	/** Bounds the number of messages that one read can bring. */
	private static final int MOST_READ_BYTES = 16_384;

	/**
	 * What waits in memory for one caller who reads slowly, before its target is not read
	 * on; some hundred events.
	 */
	private static final WriteBufferWaterMark CALLER_BUFFER = new WriteBufferWaterMark(16_384, 32_768);

	// Reads on until nothing is left, as the end of a connection comes last. By default a
	// request that fits into the buffer is handed on before the next read finds that its
	// caller has left, and a loop that runs late would send it to a target all the same.
	private static final RecvByteBufAllocator READS_TO_THE_END = new AdaptiveRecvByteBufAllocator(LEAST_READ_BYTES,
			FIRST_READ_BYTES, MOST_READ_BYTES)
		.respectMaybeMoreData(false)
		.maxMessagesPerRead(MOST_READS);

	// A buffer is kept as long as its last bytes are an incomplete line, which many
	// servers can send at once. The default of 64 KiB each would use up the direct
	// memory.
	private static final RecvByteBufAllocator BOUNDED_READS = new AdaptiveRecvByteBufAllocator(LEAST_READ_BYTES,
			FIRST_READ_BYTES, MOST_READ_BYTES);

	private final EventLoopGroup group;

	/**
	 * Creates a loop; its thread starts with the first connection.
	 * @param name the thread's name
	 */
	public WebLoop(String name) {
		this.group = new ShortTurns(new DefaultThreadFactory(name, true));
	}

	@Override
	public void execute(Runnable step) {
		this.group.next().execute(step);
	}

	/**
	 * Runs a step again and again.
	 * @param step the step
	 * @param intervalMillis the time between two runs
	 */
	public void every(Runnable step, long intervalMillis) {
		this.group.next().scheduleWithFixedDelay(step, intervalMillis, intervalMillis, TimeUnit.MILLISECONDS);
	}

	/**
	 * Runs a step later.
	 * @param step the step
	 * @param afterMillis how much later
	 * @return allows to cancel the step
	 */
	public Future<?> after(Runnable step, long afterMillis) {
		return this.group.next().schedule(step, afterMillis, TimeUnit.MILLISECONDS);
	}

	/**
	 * Creates the settings of outbound connections.
	 * @param connectMillis how long a connection may take to be made
	 * @return the settings, without a handler
	 */
	public Bootstrap client(int connectMillis) {
		return new Bootstrap().group(this.group)
			.channel(NioSocketChannel.class)
			.option(ChannelOption.ALLOCATOR, ALLOCATOR)
			.option(ChannelOption.RECVBUF_ALLOCATOR, BOUNDED_READS)
			.option(ChannelOption.TCP_NODELAY, true)
			.option(ChannelOption.CONNECT_TIMEOUT_MILLIS, connectMillis);
	}

	/**
	 * Creates the settings of inbound connections.
	 * @return the settings, without a handler
	 */
	public ServerBootstrap server() {
		return new ServerBootstrap().group(this.group)
			.channel(NioServerSocketChannel.class)
			.option(ChannelOption.ALLOCATOR, ALLOCATOR)
			.option(ChannelOption.SO_BACKLOG, BACKLOG)
			.childOption(ChannelOption.ALLOCATOR, ALLOCATOR)
			.childOption(ChannelOption.RECVBUF_ALLOCATOR, READS_TO_THE_END)
			.childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, CALLER_BUFFER)
			.childOption(ChannelOption.TCP_NODELAY, true);
	}

	@Override
	public void close() {
		this.group.shutdownGracefully(0, CLOSE_MILLIS, TimeUnit.MILLISECONDS);
	}

	/**
	 * One event loop that reads its connections again after {@link #TASK_MILLIS}.
	 */
	private static final class ShortTurns extends MultiThreadIoEventLoopGroup {

		ShortTurns(ThreadFactory threads) {
			super(1, threads, NioIoHandler.newFactory());
		}

		@Override
		protected IoEventLoop newChild(Executor executor, IoHandlerFactory handlers, Object... unused) {
			return new SingleThreadIoEventLoop(this, executor, handlers, Integer.MAX_VALUE,
					RejectedExecutionHandlers.reject(), TASK_MILLIS);
		}

	}

}
