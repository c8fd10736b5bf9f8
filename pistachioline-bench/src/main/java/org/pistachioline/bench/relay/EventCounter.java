package org.pistachioline.bench.relay;

import java.net.http.HttpResponse;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Flow;
import java.util.function.Supplier;

/**
 * Counts the events of one stream as they come; the last two carry no token.
 */
final class EventCounter implements HttpResponse.BodySubscriber<Integer> {

	private final Supplier<StreamTimes> times;

	private final long sentAtNanos;

	private final CompletableFuture<Integer> body = new CompletableFuture<>();

	private long lastAtNanos;

	private int events;

	private boolean afterLineBreak;

	EventCounter(Supplier<StreamTimes> times, long sentAtNanos) {
		this.times = times;
		this.sentAtNanos = sentAtNanos;
	}

	@Override
	public CompletionStage<Integer> getBody() {
		return this.body;
	}

	@Override
	public void onSubscribe(Flow.Subscription subscription) {
		subscription.request(Long.MAX_VALUE);
	}

	@Override
	public void onNext(List<ByteBuffer> buffers) {
		int fresh = 0;
		for (final ByteBuffer buffer : buffers) {
			fresh += eventsIn(buffer);
		}
		if (fresh == 0) {
			return;
		}
		final long nowNanos = System.nanoTime();
		final StreamTimes now = this.times.get();
		if (this.events == 0) {
			now.onFirstToken(nowNanos - this.sentAtNanos);
		}
		else {
			now.onTokens(fresh, nowNanos - this.lastAtNanos);
		}
		now.countTokens(fresh);
		this.events += fresh;
		this.lastAtNanos = nowNanos;
	}

	private int eventsIn(ByteBuffer buffer) {
		int found = 0;
		while (buffer.hasRemaining()) {
			final boolean lineBreak = buffer.get() == '\n';
			if (lineBreak && this.afterLineBreak) {
				found++;
			}
			this.afterLineBreak = lineBreak && !this.afterLineBreak;
		}
		return found;
	}

	@Override
	public void onError(Throwable failure) {
		this.body.completeExceptionally(failure);
	}

	@Override
	public void onComplete() {
		this.body.complete(this.events);
	}

}
