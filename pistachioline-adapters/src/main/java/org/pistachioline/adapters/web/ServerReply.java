package org.pistachioline.adapters.web;

import java.util.concurrent.TimeUnit;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Writes the answer to one request on its caller's connection.
 */
final class ServerReply implements WebReply {

	/** Time for the other side to read the last answer before the connection is reset. */
	private static final long LINGER_MILLIS = 500;

	private static final int RESET_ON_CLOSE = 0;

	private static final int ORDERLY_CLOSE = -1;

	private final ChannelHandlerContext ctx;

	private final boolean chunks;

	private final long arrivedAtNanos;

	private final ServerConnection connection;

	private boolean keepAlive;

	private boolean begun;

	private boolean over;

	private CallerListener listener;

	private BodyWriter bodyWriter;

	ServerReply(ChannelHandlerContext ctx, boolean keepAlive, boolean chunks, long arrivedAtNanos,
			ServerConnection connection) {
		this.ctx = ctx;
		this.keepAlive = keepAlive;
		this.chunks = chunks;
		this.arrivedAtNanos = arrivedAtNanos;
		this.connection = connection;
	}

	@Override
	public void whole(WebAnswer answer) {
		if (this.over || this.begun) {
			return;
		}
		final HttpHeaders headers = headersOf(answer.head());
		headers.set(HttpHeaderNames.CONTENT_LENGTH, answer.body().sizeBytes());
		if (answer.body().sizeBytes() > BodyWriter.MAX_PIECE_BYTES) {
			this.over = true;
			this.ctx.write(new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(answer.status()),
					headers));
			this.bodyWriter = new BodyWriter(this.ctx, answer.body());
			writeBody();
			return;
		}
		finish(this.ctx.writeAndFlush(
				new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(answer.status()),
						answer.body().toBuffer(), headers, EmptyHttpHeaders.INSTANCE)));
	}

	private void writeBody() {
		this.connection.onAnswerTaken();
		if (this.bodyWriter.writeOn()) {
			this.bodyWriter = null;
			finish(this.ctx.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
		}
	}

	@Override
	public void begin(AnswerHead head) {
		if (this.over) {
			return;
		}
		this.begun = true;
		this.keepAlive &= this.chunks;
		if (!this.chunks && this.ctx.channel().isOpen()) {
			// Otherwise any end of the connection would look like the end of the answer.
			this.ctx.channel().config().setOption(ChannelOption.SO_LINGER, RESET_ON_CLOSE);
		}
		final HttpHeaders headers = headersOf(head);
		headers.remove(HttpHeaderNames.CONTENT_LENGTH);
		final DefaultHttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1,
				HttpResponseStatus.valueOf(head.status()), headers);
		HttpUtil.setTransferEncodingChunked(response, this.chunks);
		this.ctx.write(response);
	}

	private HttpHeaders headersOf(AnswerHead head) {
		final HttpHeaders headers = head.headers().toNetty();
		this.keepAlive &= !headers.containsValue(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE, true);
		this.keepAlive &= !this.connection.isLastAnswer();
		if (!this.keepAlive) {
			headers.set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
		}
		return headers;
	}

	@Override
	public void piece(byte[] bytes, int offset, int length) {
		if (!this.over) {
			this.ctx.write(new DefaultHttpContent(Unpooled.wrappedBuffer(bytes, offset, length)));
		}
	}

	@Override
	public void flush() {
		if (!this.over) {
			this.ctx.flush();
		}
	}

	@Override
	public void end() {
		if (!this.over && this.begun) {
			finish(this.ctx.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT));
		}
	}

	@Override
	public void breakOff() {
		if (this.over) {
			return;
		}
		this.over = true;
		this.ctx.flush();
		this.ctx.close();
	}

	private void finish(ChannelFuture written) {
		this.over = true;
		if (this.keepAlive) {
			this.connection.answered();
		}
		else {
			written.addListener((done) -> closeGently());
		}
	}

	// Closed with bytes that were not read, the connection would be reset and the answer
	// lost on its way.
	private void closeGently() {
		if (this.ctx.channel() instanceof SocketChannel socket && socket.isActive()) {
			socket.config().setSoLinger(ORDERLY_CLOSE);
			socket.shutdownOutput();
			this.ctx.executor().schedule(() -> this.ctx.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
		}
		else {
			this.ctx.close();
		}
	}

	@Override
	public boolean writable() {
		return this.ctx.channel().isWritable();
	}

	@Override
	public boolean callerWaits() {
		final Channel channel = this.ctx.channel();
		if (!this.over) {
			this.connection.readArrived();
		}
		if (!channel.isActive()) {
			onGone();
		}
		return !this.over;
	}

	@Override
	public long arrivedAtNanos() {
		return this.arrivedAtNanos;
	}

	@Override
	public void hold(int bytes) {
		if (!this.over) {
			this.connection.hold(bytes);
		}
	}

	@Override
	public void listen(CallerListener callerListener) {
		this.listener = callerListener;
		if (!this.ctx.channel().isActive()) {
			onGone();
		}
	}

	void onClosing(CloseCause cause) {
		if (!this.over && this.listener != null) {
			this.listener.onClosing(cause);
		}
	}

	boolean isOver() {
		return this.over;
	}

	/**
	 * Returns whether a whole answer is being written that its caller takes slowly.
	 * @return whether a part of it was not written
	 */
	boolean isWritingBody() {
		return this.bodyWriter != null;
	}

	void onGone() {
		this.bodyWriter = null;
		if (!this.over) {
			this.over = true;
			if (this.listener != null) {
				this.listener.onGone();
			}
		}
	}

	void onWritable(boolean writable) {
		if (this.bodyWriter != null) {
			if (writable) {
				writeBody();
			}
		}
		else if (!this.over && this.listener != null) {
			this.listener.onWritable(writable);
		}
	}

}
