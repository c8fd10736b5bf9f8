package org.pistachioline.standins;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionStage;

import org.apache.pekko.actor.typed.ActorSystem;
import org.apache.pekko.http.javadsl.model.HttpMethods;
import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;
import org.apache.pekko.http.javadsl.model.headers.RawHeader;

import org.pistachioline.adapters.http.Json;

/**
 * Stands in for the platform's instance list, which shows each change after a lag.
 */
public final class InstanceListStandIn extends StandIn {

	private static final long READ_TIMEOUT_MILLIS = 5_000;

	private static final int OK = 200;

	private static final int NOT_MODIFIED = 304;

	private final long lagMillis;

	private final Map<String, ListedInstance> rows = new LinkedHashMap<>();

	private final List<Change> pending = new ArrayList<>();

	private long version;

	/**
	 * Creates an empty list.
	 * @param system the process's actor system
	 * @param lagMillis how long a change takes to show
	 */
	public InstanceListStandIn(ActorSystem<?> system, long lagMillis) {
		super(system);
		this.lagMillis = lagMillis;
	}

	/**
	 * Adds a row or replaces it, after the lag.
	 * @param row the row
	 */
	public synchronized void put(ListedInstance row) {
		this.pending.add(new Change(System.currentTimeMillis() + this.lagMillis, row.id(), row));
	}

	/**
	 * Removes a row, after the lag.
	 * @param id the instance's id
	 */
	public synchronized void remove(String id) {
		this.pending.add(new Change(System.currentTimeMillis() + this.lagMillis, id, null));
	}

	@Override
	protected CompletionStage<HttpResponse> answer(HttpRequest request) {
		if (request.method().equals(HttpMethods.GET)) {
			request.discardEntityBytes(system());
			return Answers.now(list(request));
		}
		final String path = request.getUri().path();
		if (request.method().equals(HttpMethods.DELETE)) {
			request.discardEntityBytes(system());
			remove(path.substring(path.lastIndexOf('/') + 1));
			return Answers.now(Answers.json(200, Map.of()));
		}
		return request.entity().toStrict(READ_TIMEOUT_MILLIS, system()).thenApply((entity) -> {
			put(Json.read(entity.getData().toArray(), ListedInstance.class));
			return Answers.json(200, Map.of());
		});
	}

	private synchronized HttpResponse list(HttpRequest request) {
		final List<ListedInstance> visible = visible();
		final String tag = "\"" + this.version + "\"";
		final boolean unchanged = request.getHeader("If-None-Match")
			.filter((header) -> header.value().equals(tag))
			.isPresent();
		if (unchanged) {
			return HttpResponse.create().withStatus(NOT_MODIFIED);
		}
		return Answers.json(OK, Map.of("instances", visible)).addHeader(RawHeader.create("ETag", tag));
	}

	private synchronized List<ListedInstance> visible() {
		final long nowMillis = System.currentTimeMillis();
		this.pending.removeIf((change) -> {
			if (change.visibleAtMillis() > nowMillis) {
				return false;
			}
			this.version++;
			if (change.row() == null) {
				this.rows.remove(change.id());
			}
			else {
				this.rows.put(change.id(), change.row());
			}
			return true;
		});
		return List.copyOf(this.rows.values());
	}

	private record Change(long visibleAtMillis, String id, ListedInstance row) {
	}

}
