package org.pistachioline.bench.relay;

import java.net.http.HttpRequest;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

import org.pistachioline.standins.local.LocalHttp;

/**
 * Keeps a number of streams open at once: where one ends, the next begins.
 */
final class StreamLoad {

	private static final int EVENTS_WITHOUT_TOKEN = 2;

	private static final int OK = 200;

	private final String address;

	private final int maxTokens;

	private final String[] headers;

	private volatile boolean stopping;

	private volatile StreamTimes times = new StreamTimes();

	StreamLoad(String address, int maxTokens, String... headers) {
		this.address = address;
		this.maxTokens = maxTokens;
		this.headers = headers;
	}

	/**
	 * Runs the load and measures.
	 * @param streams how many streams are open at once
	 * @param warmUpNanos how long it runs before it is measured
	 * @param window what is measured, with the load running
	 * @return what the callers saw in the window
	 */
	StreamTimes run(int streams, long warmUpNanos, Runnable window) {
		this.stopping = false;
		final CompletableFuture<?>[] ends = new CompletableFuture<?>[streams];
		for (int i = 0; i < streams; i++) {
			ends[i] = new CompletableFuture<>();
			begin(ends[i]);
			// Spread, so that the streams do not end and begin all at once.
			LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(1));
		}
		LockSupport.parkNanos(warmUpNanos);
		final StreamTimes measured = new StreamTimes();
		this.times = measured;
		window.run();
		this.times = new StreamTimes();
		this.stopping = true;
		CompletableFuture.allOf(ends).join();
		return measured;
	}

	private void begin(CompletableFuture<?> end) {
		if (this.stopping) {
			end.complete(null);
			return;
		}
		final String body = "{\"model\":\"bench\",\"stream\":true,\"max_tokens\":" + this.maxTokens
				+ ",\"messages\":[{\"role\":\"user\",\"content\":\"A sign for a bakery\"}]}";
		final HttpRequest request = LocalHttp.request(this.address, "/v1/chat/completions")
			.headers(this.headers)
			.POST(HttpRequest.BodyPublishers.ofString(body))
			.build();
		final long sentAtNanos = System.nanoTime();
		LocalHttp.CLIENT.sendAsync(request, (info) -> new EventCounter(() -> this.times, sentAtNanos))
			.whenComplete((answer, failure) -> {
				this.times.onEnd(failure == null && answer.statusCode() == OK
						&& answer.body() == this.maxTokens + EVENTS_WITHOUT_TOKEN);
				begin(end);
			});
	}

}
