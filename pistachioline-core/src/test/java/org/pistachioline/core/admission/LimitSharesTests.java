package org.pistachioline.core.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Random;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

class LimitSharesTests {

	private static final long SECOND_NANOS = 1_000_000_000L;

	private static final List<String> SHOPS = List.of("shops");

	// Callers keep an address for long, so all of a workspace's demand may sit at one of
	// eight daemons. With equal parts its callers would be refused at an eighth of what
	// the manifest promises.
	@Test
	void aLimitFollowsDemandToTheDaemonThatHasIt() {
		final LimitShares shares = shares();
		shares.onDemand(Map.of("shops", 100.0));
		for (int second = 0; second < 5; second++) {
			for (int peer = 0; peer < 7; peer++) {
				shares.onPeerDemand(second * SECOND_NANOS, "d" + peer, false, Map.of());
			}
			shares.shareRatios(second * SECOND_NANOS, SHOPS);
		}
		assertThat(shares.shareRatios(5 * SECOND_NANOS, SHOPS).get("shops")).isCloseTo(0.825, within(0.001));
	}

	// A cut leaves four daemons on each side, and each side hears of demand on its own
	// only. If the live ones divided the whole limit, the sides together would admit
	// twice
	// of it.
	@Test
	void theSidesOfACutTogetherStayWithinTheLimit() {
		final LimitShares shares = shares();
		for (int peer = 0; peer < 7; peer++) {
			shares.onPeerDemand(0, "d" + peer, false, Map.of("shops", 10.0));
		}
		shares.onDemand(Map.of("shops", 10.0));
		for (int peer = 0; peer < 3; peer++) {
			shares.onPeerDemand(20 * SECOND_NANOS, "d" + peer, false, Map.of("shops", 10.0));
		}
		assertThat(shares.shareRatios(20 * SECOND_NANOS, SHOPS).get("shops")).isCloseTo(0.125, within(0.001));
	}

	@Test
	void aPeerThatLeavesGivesItsPartBackAtOnce() {
		final LimitShares shares = shares();
		shares.onPeerDemand(0, "d1", false, Map.of());
		shares.onPeerDemand(0, "d1", true, Map.of());
		assertThat(shares.shareRatios(0, SHOPS).get("shops")).isCloseTo(1, within(0.001));
	}

	// Demand jumps about between daemons while word of it takes up to the hold time. A
	// daemon that acted on its own demand before the others gave way would add its new
	// share to their old ones, and the engines would get more than the limit.
	@Property(tries = 50, seed = "20261203")
	void allSharesTogetherStayWithinTheStatedBound(@ForAll @IntRange(min = 2, max = 8) int daemons,
			@ForAll @IntRange(min = 1, max = 1_000_000) int seed) {
		final Random random = new Random(seed);
		final List<LimitShares> all = new ArrayList<>();
		final Deque<Runnable[]> delayed = new ArrayDeque<>();
		for (int i = 0; i < daemons; i++) {
			all.add(shares());
		}
		for (int step = 0; step < 200; step++) {
			final long nowNanos = step * SECOND_NANOS / 4;
			if (delayed.size() > 2) {
				List.of(delayed.poll()).forEach(Runnable::run);
			}
			final Runnable[] messages = new Runnable[daemons];
			for (int i = 0; i < daemons; i++) {
				final Map<String, Double> demand = Map.of("shops",
						(step % 20 < 10 == (i % 2 == 0)) ? 100.0 : random.nextDouble());
				final String daemonId = "d" + i;
				final LimitShares self = all.get(i);
				self.onDemand(demand);
				messages[i] = () -> all.stream()
					.filter((peer) -> peer != self)
					.forEach((peer) -> peer.onPeerDemand(nowNanos, daemonId, false, demand));
			}
			delayed.add(messages);
			double sum = 0;
			for (final LimitShares shares : all) {
				sum += shares.shareRatios(nowNanos, SHOPS).get("shops");
			}
			if (step > 3) {
				assertThat(sum).isLessThanOrEqualTo(LimitShares.MAX_TOTAL_RATIO);
			}
		}
	}

	private static LimitShares shares() {
		return new LimitShares(4 * SECOND_NANOS, 60 * SECOND_NANOS, SECOND_NANOS);
	}

}
