package org.pistachioline.adapters.web;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;

/**
 * One caller's connection: reads requests whole and answers them one after the other.
 * <p>
 * While a request is answered the connection is still read, unless more than one request
 * waits. Otherwise a disconnect would be noticed only by a failed write, and nothing is
 * written before the response's head or while a stream is silent: the target would keep
 * working on an abandoned request.
 */
final class ServerConnection extends ChannelInboundHandlerAdapter {

	/** Requests that may wait behind the one that is answered before reading stops. */
	private static final int MOST_WAITING = 1;

	/** Requests that may wait in all, as one read can bring many; the next is refused. */
	private static final int MOST_IN_ONE_PIECE = 128;

	/**
	 * Pieces of a body that are read before all other connections are. Small pieces take
	 * far more time than their bytes.
	 */
	static final int MAX_PIECES_IN_TURN = 2_048;

	/** Disables the codec's bound, which closes the connection without answers. */
	private static final int MOST_IN_CODEC = Integer.MAX_VALUE;

	private final WebHandler handler;

	private final Supplier<RequestLimits> limits;

	private final LongSupplier nanoClock;

	private final Deque<Arrived> waiting = new ArrayDeque<>();

	private final HeldBytes held;

	private final RequestQueue requests;

	private final BooleanSupplier leaving;

	private ChannelHandlerContext ctx;

	private HttpRequest head;

	private ByteBuf body = Unpooled.EMPTY_BUFFER;

	private ServerReply current;

	private boolean ignoresInput;

	private boolean finishing;

	private int piecesInTurn;

	private boolean awaitsTurn;

	private long currentBytes;

	private long heldBytes;

	private long begunAtNanos;

	private boolean begun;

	private boolean bytesRead;

	private boolean messageRead;

	private long idleSinceNanos;

	private RequestLimits limitsAtStart;

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
		this.limits = limits;
		this.nanoClock = nanoClock;
		this.held = held;
		this.requests = requests;
		this.leaving = leaving;
		this.idleSinceNanos = nanoClock.getAsLong();
		this.limitsAtStart = limits.get();
	}

	/**
	 * Adds the connection's handlers to a new channel.
	 * @param pipeline the channel's pipeline
	 */
	void addTo(ChannelPipeline pipeline) {
		final int headBytes = this.limitsAtStart.headBytes();
		pipeline.addLast(new ReadObserver(),
				new HttpServerCodec(
						new HttpDecoderConfig().setMaxInitialLineLength(headBytes).setMaxHeaderSize(headBytes),
						MOST_IN_CODEC),
				this);
	}

	@Override
	public void handlerAdded(ChannelHandlerContext context) {
		this.ctx = context;
	}

	@Override
	public void channelRead(ChannelHandlerContext context, Object message) {
		this.messageRead = true;
		try {
			if (!this.ignoresInput && message instanceof HttpObject object) {
				take(object);
			}
		}
		finally {
			ReferenceCountUtil.release(message);
		}
	}

	private void take(HttpObject object) {
		if (object.decoderResult().isFailure()) {
			fault(faultOf(object.decoderResult().cause()));
			return;
		}
		if (object instanceof HttpRequest request) {
			begin(request);
		}
		if (!this.ignoresInput && object instanceof HttpContent content) {
			append(content);
		}
	}

	private static RequestFault faultOf(Throwable cause) {
		final boolean tooLong = cause instanceof TooLongHttpLineException
				|| cause instanceof TooLongHttpHeaderException;
		return tooLong ? RequestFault.HEAD_TOO_LARGE : RequestFault.MALFORMED;
	}

	private void begin(HttpRequest request) {
		this.head = request;
		this.body = Unpooled.EMPTY_BUFFER;
		beginTime();
		if (HttpUtil.getContentLength(request, 0L) > this.limits.get().bodyBytes()) {
			fault(RequestFault.BODY_TOO_LARGE);
		}
		else if (this.held.full() || this.waiting.size() >= MOST_IN_ONE_PIECE) {
			fault(RequestFault.NO_ROOM);
		}
		else if (HttpUtil.is100ContinueExpected(request)) {
			this.ctx.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE,
					Unpooled.EMPTY_BUFFER));
		}
	}

	private void append(HttpContent content) {
		final ByteBuf piece = content.content();
		if (this.body.readableBytes() + piece.readableBytes() > this.limits.get().bodyBytes()) {
			fault(RequestFault.BODY_TOO_LARGE);
			return;
		}
		if (piece.isReadable() && this.held.full()) {
			fault(RequestFault.NO_ROOM);
			return;
		}
		if (piece.isReadable()) {
			collect(piece);
		}
		if (content instanceof LastHttpContent) {
			arrive(new Arrived(
					new WebRequest(this.head.method().name(), this.head.uri(), HeaderFields.of(this.head.headers()),
							Body.of(this.body)),
					null, HttpUtil.isKeepAlive(this.head), this.head.protocolVersion().equals(HttpVersion.HTTP_1_1),
					this.nanoClock.getAsLong()));
			this.head = null;
			this.body = Unpooled.EMPTY_BUFFER;
			this.begun = false;
		}
		count();
	}

	// The pieces are copied into one buffer that grows by doubling: time and memory
	// depend on the size of the body and not on the number of its pieces.
	private void collect(ByteBuf piece) {
		if (!this.body.isReadable()) {
			this.body = Unpooled.buffer(piece.readableBytes());
		}
		this.body.writeBytes(piece);
		this.piecesInTurn++;
		if (this.piecesInTurn >= MAX_PIECES_IN_TURN && !this.awaitsTurn) {
			awaitNextTurn();
		}
	}

	private void awaitNextTurn() {
		this.awaitsTurn = true;
		updateReading();
		// A scheduled task waits for the loop's next turn, unlike one that is executed.
		this.ctx.executor().schedule(() -> {
			this.awaitsTurn = false;
			this.piecesInTurn = 0;
			updateReading();
		}, 0, TimeUnit.NANOSECONDS);
	}

	private void updateReading() {
		this.ctx.channel().config().setAutoRead(!this.awaitsTurn && this.waiting.size() <= MOST_WAITING);
	}

	private void fault(RequestFault fault) {
		final HeaderFields headers = (this.head != null) ? HeaderFields.of(this.head.headers()) : HeaderFields.EMPTY;
		this.ignoresInput = true;
		this.begun = false;
		this.head = null;
		this.body = Unpooled.EMPTY_BUFFER;
		count();
		arrive(new Arrived(null, new UnreadRequest(fault, headers), false, true, this.nanoClock.getAsLong()));
	}

	private void arrive(Arrived arrived) {
		this.waiting.add(arrived);
		// Everything that has arrived on any connection is read before the first request
		// is handled, so that nothing is done for callers who have left already.
		this.requests.add(this.ctx.executor(), this::next);
		updateReading();
	}

	private void next() {
		if (!this.ctx.channel().isActive()) {
			this.waiting.clear();
		}
		if (this.current != null || this.waiting.isEmpty()) {
			return;
		}
		final Arrived arrived = this.waiting.poll();
		updateReading();
		this.currentBytes = arrived.bytes();
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

	void answered() {
		this.current = null;
		this.currentBytes = 0;
		count();
		this.idleSinceNanos = this.nanoClock.getAsLong();
		if (!this.begun) {
			this.limitsAtStart = this.limits.get();
		}
		next();
		if (this.finishing && isIdle()) {
			closeUnlessRequestArrived();
		}
	}

	/**
	 * Returns whether the connection ends behind the current answer because the server is
	 * leaving. Requests that were read behind it are answered first.
	 * @return whether no other answer follows
	 */
	boolean isLastAnswer() {
		return this.leaving.getAsBoolean() && this.waiting.isEmpty() && !this.begun;
	}

	/**
	 * Closes the connection as soon as every request that was read on it is answered.
	 */
	void finish() {
		this.finishing = true;
		if (isIdle()) {
			closeUnlessRequestArrived();
		}
	}

	void hold(int bytes) {
		this.currentBytes += bytes;
		count();
	}

	// What a caller has not taken shrinks without a notice; sweeps see that.
	private void count() {
		long now = this.body.capacity() + this.currentBytes;
		for (final Arrived arrived : this.waiting) {
			now += arrived.bytes();
		}
		final ChannelOutboundBuffer untaken = this.ctx.channel().unsafe().outboundBuffer();
		now += (untaken != null) ? untaken.totalPendingWriteBytes() : 0;
		this.held.add(now - this.heldBytes);
		this.heldBytes = now;
	}

	private void beginTime() {
		if (!this.begun) {
			this.begun = true;
			this.begunAtNanos = this.nanoClock.getAsLong();
			this.limitsAtStart = this.limits.get();
		}
	}

	// The codec shows nothing of a head until it is whole.
	@Override
	public void channelReadComplete(ChannelHandlerContext context) {
		if (this.bytesRead && !this.messageRead && !this.ignoresInput) {
			beginTime();
		}
		this.bytesRead = false;
		this.messageRead = false;
		if (!this.awaitsTurn) {
			this.piecesInTurn = 0;
		}
	}

	/**
	 * Closes the connection where its caller is idle for too long, and refuses a request
	 * that comes too slowly: many such connections would use up the process's
	 * descriptors.
	 * @param nowNanos the monotonic time
	 */
	void sweep(long nowNanos) {
		count();
		final RequestLimits now = this.limits.get();
		if (this.begun && nowNanos - this.begunAtNanos > nanos(mostMillisToRead(now))) {
			fault(RequestFault.TOO_SLOW);
			next();
		}
		else if (isIdle() && nowNanos - this.idleSinceNanos > nanos(mostIdleMillis(now))) {
			closeUnlessRequestArrived();
		}
	}

	private boolean isIdle() {
		return this.current == null && this.waiting.isEmpty() && !this.begun;
	}

	// Callers rely on the times in force when the request or the idle time began.
	private long mostMillisToRead(RequestLimits now) {
		return (this.head == null) ? Math.max(now.headMillis(), this.limitsAtStart.headMillis())
				: Math.max(now.bodyMillis(), this.limitsAtStart.bodyMillis());
	}

	private long mostIdleMillis(RequestLimits now) {
		return Math.max(now.idleMillis(), this.limitsAtStart.idleMillis());
	}

	// On a loop that runs late a request may have arrived that was not read yet.
	private void closeUnlessRequestArrived() {
		readArrived();
		if (isIdle()) {
			close();
		}
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

	private static long nanos(long millis) {
		return TimeUnit.MILLISECONDS.toNanos(millis);
	}

	void close() {
		this.ctx.close();
	}

	@Override
	public void channelWritabilityChanged(ChannelHandlerContext context) {
		count();
		if (this.current != null) {
			this.current.onWritable(context.channel().isWritable());
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext context) {
		this.ignoresInput = true;
		this.waiting.clear();
		this.currentBytes = 0;
		this.body = Unpooled.EMPTY_BUFFER;
		count();
		if (this.current != null) {
			this.current.onGone();
		}
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
		ConnectionFaults.log(cause);
		if (!ConnectionFaults.isReset(cause) && this.head != null) {
			fault(RequestFault.INTERNAL);
			return;
		}
		if (!ConnectionFaults.isReset(cause)) {
			reportUnanswered(CloseCause.CONNECTION_FAILED);
		}
		context.close();
	}

	/**
	 * Closes the connection because the server stops.
	 */
	void stop() {
		reportUnanswered(CloseCause.SERVER_STOPPED);
		close();
	}

	private void reportUnanswered(CloseCause cause) {
		if (!this.ctx.channel().isActive()) {
			return;
		}
		// Behind an answer that announced the connection's end, no answer is due.
		if (this.current == null || !this.current.isOver()) {
			this.waiting.stream()
				.filter((arrived) -> arrived.request() != null)
				.forEach((arrived) -> this.handler.onUnhandled(arrived.request(), cause));
		}
		this.waiting.clear();
		if (this.current != null) {
			this.current.onClosing(cause);
		}
	}

	/**
	 * A request that has arrived, or why none could be read.
	 *
	 * @param request the request; null where there is a fault
	 * @param unread what could not be read; null where there is a request
	 * @param keepAlive whether the caller keeps the connection
	 * @param chunks whether the caller understands answers in chunks
	 * @param atNanos when it has arrived
	 */
	private record Arrived(WebRequest request, UnreadRequest unread, boolean keepAlive, boolean chunks, long atNanos) {

		int bytes() {
			return (this.request != null) ? this.request.body().sizeBytes() : 0;
		}

	}

	/**
	 * A request that could not be read.
	 *
	 * @param fault why not
	 * @param headers its header fields; empty if its head was not read
	 */
	private record UnreadRequest(RequestFault fault, HeaderFields headers) {

	}

	/**
	 * Notes that something has arrived, whatever the codec makes of it.
	 */
	private final class ReadObserver extends ChannelInboundHandlerAdapter {

		@Override
		public void channelRead(ChannelHandlerContext context, Object bytes) {
			ServerConnection.this.bytesRead = true;
			context.fireChannelRead(bytes);
		}

	}

}
