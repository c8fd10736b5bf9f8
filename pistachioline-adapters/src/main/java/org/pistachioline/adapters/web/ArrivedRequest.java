package org.pistachioline.adapters.web;

import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;

/**
 * A request that has arrived, or why none could be read.
 *
 * @param request the request; null where there is a fault
 * @param unread what could not be read; null where there is a request
 * @param keepAlive whether the caller keeps the connection
 * @param chunks whether the caller understands answers in chunks
 * @param atNanos when it has arrived
 */
record ArrivedRequest(WebRequest request, Unread unread, boolean keepAlive, boolean chunks, long atNanos) {

	/**
	 * Creates an entry for a request that was read.
	 * @param head its head
	 * @param body its body
	 * @param atNanos when it has arrived
	 * @return the request
	 */
	static ArrivedRequest read(HttpRequest head, Body body, long atNanos) {
		final RequestTarget target = RequestTarget.of(head.uri());
		final WebRequest request = new WebRequest(head.method().name(), target.pathAndQuery(),
				target.headers(HeaderFields.of(head.headers())), body);
		return new ArrivedRequest(request, null, HttpUtil.isKeepAlive(head),
				head.protocolVersion().equals(HttpVersion.HTTP_1_1), atNanos);
	}

	/**
	 * Creates an entry for a request that could not be read; the connection ends behind
	 * its answer.
	 * @param fault why not
	 * @param headers its header fields; empty if its head was not read
	 * @param atNanos when the fault was noticed
	 * @return the fault
	 */
	static ArrivedRequest unread(RequestFault fault, HeaderFields headers, long atNanos) {
		return new ArrivedRequest(null, new Unread(fault, headers), false, true, atNanos);
	}

	int bodyBytes() {
		return (this.request != null) ? this.request.body().sizeBytes() : 0;
	}

	/**
	 * A request that could not be read.
	 *
	 * @param fault why not
	 * @param headers its header fields; empty if its head was not read
	 */
	record Unread(RequestFault fault, HeaderFields headers) {

	}

}
