package org.pistachioline.standins;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.apache.pekko.http.javadsl.model.ContentTypes;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.Query;

import org.pistachioline.adapters.http.Json;

/**
 * Helps stand-ins to write answers.
 */
final class Answers {

	private Answers() {
	}

	static HttpResponse json(int status, Object body) {
		return HttpResponse.create().withStatus(status).withEntity(ContentTypes.APPLICATION_JSON, Json.bytes(body));
	}

	static CompletionStage<HttpResponse> now(HttpResponse response) {
		return CompletableFuture.completedFuture(response);
	}

	static long queryLong(Query query, String name, long absent) {
		return query.get(name).map(Long::parseLong).orElse(absent);
	}

}
