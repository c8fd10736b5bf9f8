package org.pistachioline.adapters.web;

import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.EmptyHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

import org.pistachioline.adapters.http.NotConnectedException;

/**
 * One connection that carries one request at a time.
 * <p>
 * A connection whose exchange did not end well is never used again: what arrives on it
 * next could belong to the request before. The same holds for one on which something
 * arrives while nobody waits.
 */
final class ClientConnection extends ChannelInboundHandlerAdapter {

	private final String address;

	private final ConnectionOwner owner;

	private final ConnectionHistory history = new ConnectionHistory();

	private final AnswerInspector inspector = new AnswerInspector(this::onSurplus);

	private ClientCall call;

	private CompletableFuture<OpenedConnection> opening = CompletableFuture.completedFuture(null);

	private Channel channel;

	private boolean connected;

	private boolean keptAlive = true;

	private boolean informational;

	private boolean reusable;

	private boolean written;

	private boolean ended;

	private boolean closed;

	ClientConnection(String address, ConnectionOwner owner) {
		this.address = address;
		this.owner = owner;
	}

	String address() {
		return this.address;
	}

	long idleSinceNanos() {
		return this.history.idleSinceNanos();
	}

	/**
	 * Returns how the connection has been used until now.
	 * @return the use
	 */
	ConnectionUse use() {
		return this.history.use();
	}

	boolean hasCarried(String requestId) {
		return this.history.hasCarried(requestId);
	}

	boolean isClosed() {
		return this.closed || (this.channel != null && !this.channel.isActive());
	}

	/**
	 * Begins a request; it leaves once the connection is made.
	 * @param next the request
	 */
	void begin(ClientCall next) {
		this.call = next;
		this.history.onBegin(next.request());
		this.inspector.onRequest();
		this.ended = false;
		this.written = false;
		if (this.channel != null && this.channel.isActive()) {
			write();
		}
	}

	/**
	 * Sets the pending connection, which is given up if the request is.
	 * @param pending the connection
	 */
	void onConnecting(CompletableFuture<OpenedConnection> pending) {
		this.opening = pending;
	}

	void onConnected(OpenedConnection opened) {
		this.keptAlive = opened.reusable();
		opened.channel().pipeline().addLast(codec(), this);
		onConnected();
	}

	private static HttpClientCodec codec() {
		final HttpDecoderConfig config = new HttpDecoderConfig()
			.setHeadersFactory(new BoundedFieldsFactory(DefaultHttpHeadersFactory.headersFactory()))
			.setTrailersFactory(new BoundedFieldsFactory(DefaultHttpHeadersFactory.trailersFactory()));
		return new HttpClientCodec(config, HttpClientCodec.DEFAULT_PARSE_HTTP_AFTER_CONNECT_REQUEST,
				HttpClientCodec.DEFAULT_FAIL_ON_MISSING_RESPONSE);
	}

	void onNotConnected(Throwable failure) {
		this.closed = true;
		if (this.call != null) {
			this.call.fail(new NotConnectedException(this.address, failure));
		}
	}

	void abort() {
		this.closed = true;
		this.call = null;
		this.opening.cancel(false);
		if (isOpen()) {
			// A reset, so that the other side drops the work and what is on its way.
			this.channel.config().setOption(ChannelOption.SO_LINGER, 0);
			this.channel.close();
		}
	}

	// A channel that is closed takes no options any more.
	private boolean isOpen() {
		return this.channel != null && this.channel.isOpen();
	}

	void reading(boolean wanted) {
		if (isOpen()) {
			this.channel.config().setAutoRead(wanted);
		}
	}

	@Override
	public void handlerAdded(ChannelHandlerContext ctx) {
		this.channel = ctx.channel();
		ctx.pipeline().addFirst(this.inspector);
	}

	@Override
	public void channelActive(ChannelHandlerContext ctx) {
		onConnected();
	}

	// A channel that became active before it got this handler does not report that again.
	private void onConnected() {
		if (this.connected) {
			return;
		}
		this.connected = true;
		if (this.closed) {
			this.channel.close();
		}
		else if (this.call != null) {
			write();
		}
	}

	private void write() {
		final FullHttpRequest message;
		try {
			if (!this.call.sending()) {
				abort();
				return;
			}
			message = messageOf(this.call.request());
		}
		catch (RuntimeException ex) {
			// Nobody else would learn of it: its caller would wait until the deadline.
			fail(new UnsendableRequestException(ex));
			return;
		}
		final ClientCall sent = this.call;
		this.channel.writeAndFlush(message).addListener((done) -> {
			if (this.call != sent && this.call != null) {
				return;
			}
			if (done.isSuccess()) {
				this.written = true;
			}
			else {
				fail(done.cause());
			}
		});
	}

	private FullHttpRequest messageOf(WebRequest request) {
		final HttpHeaders headers = request.headers().toNetty();
		headers.remove(HttpHeaderNames.TRANSFER_ENCODING);
		final boolean hasBody = request.body().sizeBytes() > 0 || !request.method().equals("GET");
		if (hasBody) {
			headers.set(HttpHeaderNames.CONTENT_LENGTH, request.body().sizeBytes());
		}
		else {
			headers.remove(HttpHeaderNames.CONTENT_LENGTH);
		}
		if (!headers.contains(HttpHeaderNames.HOST)) {
			headers.set(HttpHeaderNames.HOST, this.address);
		}
		return new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.valueOf(request.method()), request.target(),
				request.body().toBuffer(), headers, EmptyHttpHeaders.INSTANCE);
	}

	@Override
	public void channelRead(ChannelHandlerContext ctx, Object message) {
		try {
			if (this.call == null) {
				// Nobody asked: the other side sent more than its answer.
				onUnexpected(message);
			}
			else if (!(message instanceof HttpObject object)) {
				fail(new IOException("Bytes that are no answer were received"));
			}
			else if (object.decoderResult().isFailure()) {
				fail(object.decoderResult().cause());
			}
			else {
				take(object);
			}
		}
		finally {
			ReferenceCountUtil.release(message);
		}
	}

	private void onUnexpected(Object message) {
		if (!this.closed) {
			final Optional<HttpResponse> head = (message instanceof HttpResponse response) ? Optional.of(response)
					: Optional.empty();
			this.owner.onUnexpected(new UnexpectedAnswer(this.address, "", head.flatMap(this::idIn).orElse(""),
					head.map((response) -> response.status().code()).orElse(0), use()));
		}
		abort();
	}

	private void onSurplus() {
		if (this.call == null) {
			onUnexpected(null);
		}
		else {
			fail(new IOException("Bytes followed the end of an answer"));
		}
	}

	private Optional<String> idIn(HttpResponse response) {
		return this.history.idHeader().map((name) -> response.headers().get(name));
	}

	private void take(HttpObject object) {
		if (object instanceof HttpResponse response) {
			if (response.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
				// No request asks for it, and the codec decodes no answer after it.
				fail(new IOException("The server switched to another protocol"));
				return;
			}
			this.informational = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
			if (!this.informational) {
				if (!TransferCodings.areKnown(response.headers())) {
					failMalformed(new MalformedAnswerException(AnswerPart.FIELD_VALUE));
					return;
				}
				this.inspector.onHead(response);
				if (isJoined(response)) {
					failJoined(response);
					return;
				}
				this.reusable = isReusable(response);
				this.call.head(new AnswerHead(response.status().code(), HeaderFields.of(response.headers())));
			}
		}
		if (this.call == null || this.informational || !(object instanceof HttpContent content)) {
			return;
		}
		if (content.content().isReadable()) {
			this.call.bytes(ByteBufUtil.getBytes(content.content()));
		}
		if (this.call != null && object instanceof LastHttpContent) {
			final ClientCall done = this.call;
			this.call = null;
			this.ended = true;
			this.inspector.onEnd();
			done.end();
		}
	}

	private void failJoined(HttpResponse response) {
		this.owner.onJoined(new UnexpectedAnswer(this.address, this.call.request().id().orElse(""),
				idIn(response).orElse(""), response.status().code(), this.call.connection()));
		fail(new IOException("The heads of two answers were joined"));
	}

	// A connection whose answers may look joined on purpose carries no second request.
	private boolean isJoined(HttpResponse response) {
		return JoinedHeads.areIn(response, this.call.request().idHeader())
				|| (this.call.connection().earlierRequests() > 0 && JoinedHeads.mayBeIn(response));
	}

	// An answer without a length ends with its connection.
	private static boolean isReusable(HttpResponse response) {
		if (JoinedHeads.mayBeIn(response)) {
			return false;
		}
		final int status = response.status().code();
		return HttpUtil.isKeepAlive(response) && (HttpUtil.isContentLengthSet(response)
				|| HttpUtil.isTransferEncodingChunked(response) || status == 204 || status == 304);
	}

	// What follows an answer in the same packet is seen before the connection is kept.
	@Override
	public void channelReadComplete(ChannelHandlerContext ctx) {
		if (this.call != null) {
			this.call.batchEnd();
		}
		if (!this.ended || this.closed) {
			return;
		}
		this.ended = false;
		// A target may answer before it has read the request's body. Another request must
		// not be sent where the rest of that body is due.
		if (this.keptAlive && this.reusable && this.written && !this.history.isFull()) {
			ctx.channel().config().setAutoRead(true);
			this.history.onIdle();
			this.owner.onIdle(this);
		}
		else {
			this.closed = true;
			ctx.close();
		}
	}

	@Override
	public void channelInactive(ChannelHandlerContext ctx) {
		this.closed = true;
		fail(new IOException("The connection was closed before the answer's end"));
	}

	@Override
	public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
		ConnectionFaults.log(cause);
		if (cause instanceof MalformedAnswerException malformed && this.call != null) {
			failMalformed(malformed);
		}
		else {
			fail(cause);
		}
	}

	private void failMalformed(MalformedAnswerException malformed) {
		this.owner.onMalformed(new MalformedAnswer(this.address, this.call.request().id().orElse(""), malformed.part(),
				this.call.connection()));
		fail(malformed);
	}

	private void fail(Throwable cause) {
		final ClientCall failed = this.call;
		abort();
		if (failed != null) {
			failed.fail(cause);
		}
	}

}
