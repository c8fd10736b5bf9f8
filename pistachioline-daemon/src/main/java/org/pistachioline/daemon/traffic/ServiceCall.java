package org.pistachioline.daemon.traffic;

import org.apache.pekko.http.javadsl.model.ContentType;
import org.apache.pekko.http.javadsl.model.HttpMethod;

/**
 * The parts of a caller's request that are sent to a plain service.
 */
final class ServiceCall {

	private final HttpMethod method;

	private final String pathAndQuery;

	private final ContentType contentType;

	private final byte[] bodyBytes;

	private final String idempotencyKey;

	private final long timeoutMillis;

	ServiceCall(HttpMethod method, String pathAndQuery, ContentType contentType, byte[] bodyBytes,
			String idempotencyKey, long timeoutMillis) {
		this.method = method;
		this.pathAndQuery = pathAndQuery;
		this.contentType = contentType;
		this.bodyBytes = bodyBytes.clone();
		this.idempotencyKey = idempotencyKey;
		this.timeoutMillis = timeoutMillis;
	}

	HttpMethod method() {
		return this.method;
	}

	String pathAndQuery() {
		return this.pathAndQuery;
	}

	ContentType contentType() {
		return this.contentType;
	}

	byte[] bodyBytes() {
		return this.bodyBytes.clone();
	}

	String idempotencyKey() {
		return this.idempotencyKey;
	}

	long timeoutMillis() {
		return this.timeoutMillis;
	}

}
