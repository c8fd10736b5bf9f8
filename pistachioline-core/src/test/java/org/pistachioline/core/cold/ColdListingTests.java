package org.pistachioline.core.cold;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.junit.jupiter.api.Test;

import org.pistachioline.core.replica.ServingInstance;
import org.pistachioline.core.route.CallerBounds;
import org.pistachioline.core.route.ColdStart;
import org.pistachioline.core.route.RouteTable;
import org.pistachioline.core.route.ServiceSpec;

import static org.assertj.core.api.Assertions.assertThat;

class ColdListingTests {

	private static final long SECOND = 1_000_000_000L;

	private static final RouteTable TABLE = new RouteTable(1, List.of(),
			List.of(new ServiceSpec("cold", 10, Optional.empty(), Optional.of(new ColdStart(3_000, 17))),
					new ServiceSpec("plain", 10, Optional.empty())),
			List.of(), CallerBounds.DEFAULT);

	private final ColdListing listing = new ColdListing();

	private static ServingInstance instance(String id, String service, String address, long coldMillis) {
		return new ServingInstance(id, service, address, "z1", "", false, 8, Set.of(), Optional.empty(), coldMillis);
	}

	@Test
	void anEntryThatSaysSoMakesItsInstanceColdOnce() {
		final ServingInstance cold = instance("a", "cold", "h:1", 2_000);
		assertThat(this.listing.onInstances(5 * SECOND, TABLE, List.of(cold)))
			.containsExactly(new ColdTarget("a", 7 * SECOND));
		assertThat(this.listing.onInstances(6 * SECOND, TABLE, List.of(cold))).isEmpty();
	}

	/**
	 * Guards against a second cold time that is missed because its entry says the same.
	 */
	@Test
	void aNewEntryWithTheSameTimeIsNewWord() {
		this.listing.onInstances(0, TABLE, List.of(instance("a", "cold", "h:1", 2_000)));
		assertThat(this.listing.onInstances(9 * SECOND, TABLE, List.of(instance("a", "cold", "h:1", 2_000))))
			.containsExactly(new ColdTarget("a", 11 * SECOND));
	}

	/**
	 * Guards against an instance that restarted after a crash and says nothing of it.
	 */
	@Test
	void anInstanceInThePlaceOfAnotherIsColdFromWhenItIsFirstSeen() {
		this.listing.onInstances(0, TABLE, List.of(instance("a~1", "cold", "h:1", 0)));
		this.listing.onInstances(SECOND, TABLE, List.of());
		assertThat(this.listing.onInstances(2 * SECOND, TABLE, List.of(instance("a~2", "cold", "h:1", 0))))
			.containsExactly(new ColdTarget("a~2", 5 * SECOND));
	}

	@Test
	void theEntryOfAnInstanceInThePlaceOfAnotherCountsWhereItSaysHowLong() {
		this.listing.onInstances(0, TABLE, List.of(instance("a~1", "cold", "h:1", 0)));
		assertThat(this.listing.onInstances(SECOND, TABLE, List.of(instance("a~2", "cold", "h:1", 500))))
			.containsExactly(new ColdTarget("a~2", SECOND + SECOND / 2));
	}

	@Test
	void instancesThatSayNothingOrDeclareNoColdStartAreNotCold() {
		assertThat(this.listing.onInstances(0, TABLE,
				List.of(instance("a", "cold", "h:1", 0), instance("b", "plain", "h:2", 9_000))))
			.isEmpty();
		assertThat(this.listing.onInstances(0, TABLE, List.of(instance("c", "plain", "h:2", 0)))).isEmpty();
	}

}
