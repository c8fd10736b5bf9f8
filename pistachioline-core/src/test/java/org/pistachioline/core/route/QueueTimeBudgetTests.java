package org.pistachioline.core.route;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class QueueTimeBudgetTests {

	/**
	 * All groups of a model are gone for some seconds. Callers of its streams leave after
	 * two, so whoever is kept in the queue for longer is kept for nobody.
	 */
	@Test
	void aStreamIsNotKeptLongerThanItsCallerStays() {
		assertThat(QueueTimeBudget.maxQueueMillis(route(RouteKind.STREAM, 300, 200), 6_000)).isEqualTo(1_400);
		assertThat(QueueTimeBudget.maxQueueMillis(route(RouteKind.STREAM, 400, 300), 8_000)).isEqualTo(1_680);
		assertThat(QueueTimeBudget.maxQueueMillis(route(RouteKind.STREAM, 900, 100), 8_000)).isEqualTo(2_520);
	}

	@Test
	void aShortWaitBoundsAStreamToo() {
		assertThat(QueueTimeBudget.maxQueueMillis(route(RouteKind.STREAM, 300, 200), 1_000)).isEqualTo(700);
	}

	@Test
	void otherCallersStayUntilTheirDeadline() {
		assertThat(QueueTimeBudget.maxQueueMillis(route(RouteKind.UNSAFE, 100, 0), 800)).isEqualTo(560);
	}

	private static Route route(RouteKind kind, long targetLatencyMillis, long eventGapMillis) {
		return new Route("r", "h", "/", kind, 8_000, targetLatencyMillis, eventGapMillis, 2, 1, false, true,
				List.of(new WeightedService("pool", 1)));
	}

}
