package org.pistachioline.core.route;

import java.util.List;
import java.util.Optional;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class RouteTableTests {

	private final RouteTable table = new RouteTable(7,
			List.of(route("all", "shop.example", "/"), route("copy", "shop.example", "/copy/"),
					route("deep", "shop.example", "/copy/deep/"), route("other", "desk.example", "/copy/")),
			List.of(new ServiceSpec("pool", 10, Optional.empty())), List.of(), CallerBounds.DEFAULT);

	@Test
	void theLongestPrefixOfTheHostWins() {
		assertThat(this.table.route("shop.example", "/copy/deep/1")).map(Route::name).contains("deep");
		assertThat(this.table.route("shop.example", "/copy/1")).map(Route::name).contains("copy");
		assertThat(this.table.route("shop.example", "/copy")).map(Route::name).contains("all");
		assertThat(this.table.route("desk.example", "/copy/deep/1")).map(Route::name).contains("other");
	}

	@Test
	void hostsAreComparedWithoutPortAndCase() {
		assertThat(this.table.route("Shop.Example:8227", "/copy/1")).map(Route::name).contains("copy");
	}

	@Test
	void hostsAreComparedWithoutTheirFinalDot() {
		assertThat(this.table.route("shop.example.", "/copy/1")).map(Route::name).contains("copy");
		assertThat(this.table.route("shop.example.:8227", "/copy/1")).map(Route::name).contains("copy");
		assertThat(this.table.route("shop.example..", "/copy/1")).isEmpty();
		assertThat(this.table.route(".", "/copy/1")).isEmpty();
	}

	@Test
	void anUnknownHostOrPathHasNoRoute() {
		assertThat(this.table.route("none.example", "/copy/1")).isEmpty();
		assertThat(this.table.route("desk.example", "/book/1")).isEmpty();
		assertThat(this.table.route("", "")).isEmpty();
	}

	@Test
	void servicesAreSelectedByTheirWeights() {
		final Route route = new Route("r", "h", "/", RouteKind.SAFE, 1, 1, 1, 1, 0, false, false,
				List.of(new WeightedService("a", 90), new WeightedService("b", 10)));
		assertThat(route.selectService(0)).isEqualTo("a");
		assertThat(route.selectService(0.89)).isEqualTo("a");
		assertThat(route.selectService(0.91)).isEqualTo("b");
		assertThat(route.selectService(0.999)).isEqualTo("b");
	}

	@Test
	void onlySafeRequestsAndResumableStreamsAreIdempotent() {
		assertThat(route(RouteKind.SAFE, false).idempotent()).isTrue();
		assertThat(route(RouteKind.UNSAFE, true).idempotent()).isFalse();
		assertThat(route(RouteKind.STREAM, false).idempotent()).isFalse();
		assertThat(route(RouteKind.STREAM, true).idempotent()).isTrue();
	}

	private static Route route(RouteKind kind, boolean resumable) {
		return new Route("r", "h", "/", kind, 1, 1, 1, 1, 0, false, resumable, List.of(new WeightedService("a", 1)));
	}

	private static Route route(String name, String host, String prefix) {
		return new Route(name, host, prefix, RouteKind.SAFE, 1_000, 100, 0, 2, 1, false, false,
				List.of(new WeightedService("pool", 1)));
	}

}
