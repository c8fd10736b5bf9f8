package org.pistachioline.daemon.relay;

import java.util.List;
import java.util.Set;

import org.apache.pekko.http.javadsl.model.ContentType;
import org.apache.pekko.http.javadsl.model.HttpEntities;
import org.apache.pekko.http.javadsl.model.HttpHeader;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.StatusCode;
import org.apache.pekko.util.ByteString;

/**
 * A target's whole answer.
 *
 * @param status the status
 * @param headers the headers that are passed on
 * @param contentType the body's content type
 * @param body the body
 */
record TargetAnswer(StatusCode status, List<HttpHeader> headers, ContentType contentType, ByteString body) {

	/**
	 * To a caller these say that its request has not run, which only a daemon may say.
	 */
	private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);

	static TargetAnswer of(HttpResponse head, ByteString body) {
		return new TargetAnswer(head.status(), ConnectionHeaders.passedOn(head), head.entity().getContentType(), body);
	}

	/**
	 * Returns whether the status claims that the request has not run.
	 * @return whether it does
	 */
	boolean promisesNotRun() {
		return PROMISES.contains(this.status.intValue());
	}

	HttpResponse toCaller() {
		return HttpResponse.create()
			.withStatus(this.status)
			.addHeaders(this.headers)
			.withEntity(HttpEntities.create(this.contentType, this.body));
	}

}
