package org.pistachioline.adapters.web;

import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;

/**
 * Puts the requests of one connection together from what the codec decodes.
 * <p>
 * A request that is over a limit, or that is no request, is passed on as a fault. Nothing
 * is read behind it, as it is not known where the next request begins.
 */
final class RequestReader {

	private final Supplier<RequestLimits> limits;

	private final LongSupplier nanoClock;

	private final ConnectionTimeouts timeouts;

	private final BodyCollector body;

	private final ConnectionBytes bytes;

	private final ReadThrottle throttle;

	private final Consumer<ArrivedRequest> receiver;

	private final int headBytesAtStart;

	private HttpRequest head;

	private long bodyBytesAtBegin;

	private boolean stopped;

	/**
	 * Creates a reader.
	 * @param limits gives what the caller may send now
	 * @param nanoClock the monotonic time, in nanoseconds
	 * @param timeouts is told when a request begins and ends
	 * @param body collects the body
	 * @param bytes counts what is held for the caller
	 * @param throttle bounds what is read in one go
	 * @param receiver receives each request and each fault
	 */
	RequestReader(Supplier<RequestLimits> limits, LongSupplier nanoClock, ConnectionTimeouts timeouts,
			BodyCollector body, ConnectionBytes bytes, ReadThrottle throttle, Consumer<ArrivedRequest> receiver) {
		this.limits = limits;
		this.headBytesAtStart = limits.get().headBytes();
		this.nanoClock = nanoClock;
		this.timeouts = timeouts;
		this.body = body;
		this.bytes = bytes;
		this.throttle = throttle;
		this.receiver = receiver;
	}

	/**
	 * Takes the next part of a request.
	 * @param ctx the connection
	 * @param part what was decoded; ignored once reading has stopped
	 */
	void read(ChannelHandlerContext ctx, HttpObject part) {
		if (this.stopped) {
			return;
		}
		if (part.decoderResult().isFailure()) {
			fail(ctx, faultOf(part.decoderResult().cause()));
			return;
		}
		if (part instanceof HttpRequest request) {
			begin(ctx, request);
		}
		if (!this.stopped && part instanceof HttpContent content) {
			append(ctx, content);
		}
	}

	private RequestFault faultOf(Throwable cause) {
		final boolean tooLong = cause instanceof TooLongHttpLineException
				|| cause instanceof TooLongHttpHeaderException;
		if (!tooLong) {
			return RequestFault.MALFORMED;
		}
		// The codec keeps the limit with which the connection was accepted.
		return (this.limits.get().headBytes() > this.headBytesAtStart) ? RequestFault.HEAD_OVER_EARLIER_LIMIT
				: RequestFault.HEAD_TOO_LARGE;
	}

	private void begin(ChannelHandlerContext ctx, HttpRequest request) {
		this.head = request;
		this.body.clear();
		this.timeouts.onRequestBegun();
		this.bodyBytesAtBegin = this.limits.get().bodyBytes();
		if (HttpUtil.getContentLength(request, 0L) > this.bodyBytesAtBegin) {
			fail(ctx, RequestFault.BODY_TOO_LARGE);
		}
		else if (this.bytes.isServerFull() || !this.throttle.mayWait()) {
			fail(ctx, RequestFault.NO_ROOM);
		}
		else if (HttpUtil.is100ContinueExpected(request)) {
			ctx.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE,
					Unpooled.EMPTY_BUFFER));
		}
	}

	private void append(ChannelHandlerContext ctx, HttpContent content) {
		final ByteBuf piece = content.content();
		final long maxBodyBytes = Math.max(this.bodyBytesAtBegin, this.limits.get().bodyBytes());
		if (this.body.sizeBytes() + piece.readableBytes() > maxBodyBytes) {
			fail(ctx, RequestFault.BODY_TOO_LARGE);
			return;
		}
		if (piece.isReadable() && this.bytes.isServerFull()) {
			fail(ctx, RequestFault.NO_ROOM);
			return;
		}
		if (piece.isReadable()) {
			this.body.append(piece);
			this.throttle.onPiece(ctx.channel());
		}
		if (content instanceof LastHttpContent) {
			this.receiver.accept(ArrivedRequest.read(this.head, this.body.toBody(), this.nanoClock.getAsLong()));
			end();
		}
		this.bytes.count(ctx.channel());
	}

	private void end() {
		this.head = null;
		this.body.clear();
		this.timeouts.onRequestEnded();
	}

	/**
	 * Gives up the request that is being read and stops reading.
	 * @param ctx the connection
	 * @param fault why
	 */
	void fail(ChannelHandlerContext ctx, RequestFault fault) {
		final HeaderFields headers = (this.head != null) ? HeaderFields.of(this.head.headers()) : HeaderFields.EMPTY;
		this.stopped = true;
		end();
		this.bytes.count(ctx.channel());
		this.receiver.accept(ArrivedRequest.unread(fault, headers, this.nanoClock.getAsLong()));
	}

	/**
	 * Notes that bytes have arrived of which the codec has shown nothing: it decodes a
	 * head only once it is whole.
	 */
	void onUndecodedBytes() {
		if (!this.stopped) {
			this.timeouts.onRequestBegun();
		}
	}

	/**
	 * Stops reading, as the connection is closed.
	 */
	void stop() {
		this.stopped = true;
		this.body.clear();
	}

	/**
	 * Returns whether the head of a request was read and its body is not complete.
	 * @return whether a body is being read
	 */
	boolean hasHead() {
		return this.head != null;
	}

}
