package org.pistachioline.adapters.web;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.ReferenceCountUtil;

/**
 * One caller's connection: answers its requests one after the other.
 * <p>
 * While a request is answered the connection is still read, unless more than one request
 * waits. Otherwise a disconnect would be noticed only by a failed write, and nothing is
 * written before the response's head or while a stream is silent: the target would keep
 * working on an abandoned request.
 */
final class ServerConnection extends ChannelInboundHandlerAdapter {

	/** Pieces of a body that are read before all other connections are. */
	static final int MAX_PIECES_IN_TURN = 2_048;

	/** Disables the codec's bound, which closes the connection without answers. */
	private static final int MOST_IN_CODEC = Integer.MAX_VALUE;

	private final WebHandler handler;

	private final RequestQueue requests;

	private final BooleanSupplier leaving;

	private final int maxHeadBytes;

	private final Deque<ArrivedRequest> waiting = new ArrayDeque<>();

	private final UndecodedBytes undecoded = new UndecodedBytes();

	private final ReadThrottle throttle = new ReadThrottle(MAX_PIECES_IN_TURN, this.waiting);

	private final ConnectionTimeouts timeouts;

	private final ConnectionBytes bytes;

	private final RequestReader reader;

	private final ConnectionCloser closer;

	private ChannelHandlerContext ctx;

	private ServerReply current;

	/**
	 * Creates a connection.
	 * @param handler answers its requests
	 * @param limits gives what its caller may send now
	 * @param nanoClock the monotonic time, in nanoseconds
	 * @param held counts what is held for this caller, with all others
	 * @param requests the requests of all connections that wait to be handled
	 * @param leaving whether callers should go to another server for their next request
	 */
	ServerConnection(WebHandler handler, Supplier<RequestLimits> limits, LongSupplier nanoClock, HeldBytes held,
			RequestQueue requests, BooleanSupplier leaving) {
		this.handler = handler;
		this.requests = requests;
		this.leaving = leaving;
		this.maxHeadBytes = limits.get().headBytes();
		this.timeouts = new ConnectionTimeouts(limits, nanoClock);
		final BodyCollector body = new BodyCollector();
		this.bytes = new ConnectionBytes(held, body, this.waiting);
		this.reader = new RequestReader(limits, nanoClock, this.timeouts, body, this.bytes, this.throttle,
				this::arrive);
		this.closer = new ConnectionCloser(this, handler, this.waiting);
	}

	/**
	 * Adds the connection's handlers to a new channel.
	 * @param pipeline the channel's pipeline
	 */
	void addTo(ChannelPipeline pipeline) {
		final HttpDecoderConfig config = new HttpDecoderConfig().setMaxInitialLineLength(this.maxHeadBytes)
			.setMaxHeaderSize(this.maxHeadBytes);
		pipeline.addLast(this.undecoded, new HttpServerCodec(config, MOST_IN_CODEC), this);
	}

	@Override
	public void handlerAdded(ChannelHandlerContext context) {
		this.ctx = context;
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		this.undecoded.onDecoded();
		try {
			if (message instanceof HttpObject part) {
				this.reader.read(context, part);
			}
		}
		finally {
			ReferenceCountUtil.release(message);
		}
	}

	@Override
	public void channelReadComplete(ChannelHandlerContext context) {
		if (this.undecoded.endRead()) {
			this.reader.onUndecodedBytes();
		}
		this.throttle.onReadComplete();
	}

	private void arrive(ArrivedRequest arrived) {
		this.waiting.add(arrived);
		// Everything that has arrived on any connection is read before the first request
		// is handled, so that nothing is done for callers who have left already.
		this.requests.add(this.ctx.executor(), this::next);
		this.throttle.update(this.ctx.channel());
	}

	private void next() {
		if (!isActive()) {
			this.waiting.clear();
		}
		if (this.current != null || this.waiting.isEmpty()) {
			return;
		}
		final ArrivedRequest arrived = this.waiting.poll();
		this.throttle.update(this.ctx.channel());
		this.bytes.setCurrent(arrived.bodyBytes());
		final ServerReply reply = new ServerReply(this.ctx, arrived.keepAlive(), arrived.chunks(), arrived.atNanos(),
				this);
		this.current = reply;
		if (arrived.unread() != null) {
			reply.whole(this.handler.onFault(arrived.unread().fault(), arrived.unread().headers()));
		}
		else {
			handle(arrived.request(), reply);
		}
	}

	private void handle(WebRequest request, ServerReply reply) {
		try {
			this.handler.handle(request, reply);
		}
		catch (RuntimeException ex) {
			ConnectionFaults.log(ex);
			reply.whole(this.handler.onFault(RequestFault.INTERNAL, request.headers()));
			// Where the answer had begun, nothing else tells its caller.
			reply.breakOff();
		}
	}

	/**
	 * Goes on to the next request behind a complete answer.
	 */
	void answered() {
		this.current = null;
		this.bytes.setCurrent(0);
		this.bytes.count(this.ctx.channel());
		this.timeouts.onAnswered();
		next();
		this.closer.onAnswered();
	}

	/**
	 * Restarts the idle time, as the caller has taken a part of its answer.
	 */
	void onAnswerTaken() {
		this.timeouts.onAnswered();
	}

	/**
	 * Returns whether the connection ends behind the current answer because the server is
	 * leaving. Requests that were read behind it are answered first.
	 * @return whether no other answer follows
	 */
	boolean isLastAnswer() {
		return this.leaving.getAsBoolean() && this.waiting.isEmpty() && !this.timeouts.isReading();
	}

	/**
	 * Counts bytes that are kept for the current answer.
	 * @param keptBytes the number of bytes
	 */
	void hold(int keptBytes) {
		this.bytes.addToCurrent(keptBytes);
		this.bytes.count(this.ctx.channel());
	}

	/**
	 * Closes the connection where its caller is idle for too long, and refuses a request
	 * that comes too slowly: many such connections would use up the process's
	 * descriptors.
	 * @param nowNanos the monotonic time
	 */
	void sweep(long nowNanos) {
		this.bytes.count(this.ctx.channel());
		if (this.timeouts.isTooSlow(nowNanos, this.reader.hasHead())) {
			this.reader.fail(this.ctx, RequestFault.TOO_SLOW);
			next();
		}
		else if (this.timeouts.isIdleTooLong(nowNanos)) {
			closeIfIdleOrStuck();
		}
	}

	// A caller that takes nothing of its answer any more holds as much as it has not
	// taken.
	private void closeIfIdleOrStuck() {
		if (this.current != null && this.current.isWritingBody()) {
			close();
		}
		else {
			this.closer.closeIfIdle();
		}
	}

	/**
	 * Returns whether the connection is without a request.
	 * @return whether none is being read, waits or is answered
	 */
	boolean isIdle() {
		return this.current == null && this.waiting.isEmpty() && !this.timeouts.isReading();
	}

	boolean isActive() {
		return this.ctx.channel().isActive();
	}

	/**
	 * Reads what has arrived on the connection, rather than in the loop's next turn.
	 */
	void readArrived() {
		final Channel channel = this.ctx.channel();
		if (channel.isActive() && channel.config().isAutoRead()
				&& channel.unsafe() instanceof AbstractNioChannel.NioUnsafe socket) {
			socket.read();
		}
	}

	/**
	 * Closes the connection as soon as every request that was read on it is answered.
	 */
	void finish() {
		this.closer.finish();
	}

	/**
	 * Closes the connection because the server stops.
	 */
	void stop() {
		this.closer.close(CloseCause.SERVER_STOPPED, this.current);
	}

	void close() {
		this.ctx.close();
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext context) {
		this.bytes.count(context.channel());
		if (this.current != null) {
			this.current.onWritable(context.channel().isWritable());
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		this.reader.stop();
		this.waiting.clear();
		this.bytes.setCurrent(0);
		this.bytes.count(context.channel());
		if (this.current != null) {
			this.current.onGone();
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		ConnectionFaults.log(cause);
		if (ConnectionFaults.isReset(cause)) {
			close();
		}
		else if (this.reader.hasHead()) {
			this.reader.fail(context, RequestFault.INTERNAL);
		}
		else {
			this.closer.close(CloseCause.CONNECTION_FAILED, this.current);
		}
	}

}
