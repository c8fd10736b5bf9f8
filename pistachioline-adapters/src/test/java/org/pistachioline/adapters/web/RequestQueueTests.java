package org.pistachioline.adapters.web;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import io.netty.channel.EventLoopGroup;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Load: requests that take long to handle on a loop with other work.
 */
@Timeout(60)
class RequestQueueTests {

	private final List<String> order = new ArrayList<>();

	private long nowNanos;

	// Guards against callers whose leaving is read only after all requests that wait were
	// handled.
	@Test
	void afterItsTimeTheLoopDoesOtherWorkBeforeItHandlesOn() {
		assertThat(orderOf(RequestQueue.TURN_NANOS)).containsExactly("first", "other", "second");
	}

	@Test
	void quickRequestsAreHandledInOneTurn() {
		assertThat(orderOf(1)).containsExactly("first", "second", "other");
	}

	private List<String> orderOf(long handlingNanos) {
		final CompletableFuture<Void> done = new CompletableFuture<>();
		try (WebLoop loop = new WebLoop("test")) {
			final EventLoopGroup group = loop.server().config().group();
			final RequestQueue queue = new RequestQueue(() -> this.nowNanos);
			loop.execute(() -> {
				queue.add(group.next(), () -> {
					this.order.add("first");
					this.nowNanos += handlingNanos;
				});
				queue.add(group.next(), () -> {
					this.order.add("second");
					loop.execute(() -> done.complete(null));
				});
				loop.execute(() -> this.order.add("other"));
			});
			done.join();
		}
		return this.order;
	}

}
