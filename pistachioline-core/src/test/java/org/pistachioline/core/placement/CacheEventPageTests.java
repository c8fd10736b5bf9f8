package org.pistachioline.core.placement;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class CacheEventPageTests {

	private static CacheEvent event(long sequence, CacheEvent.Kind kind, long hash) {
		return new CacheEvent(sequence, kind, hash);
	}

	@Test
	void whatWasStoredAndGivenUpAgainCountsAsGivenUp() {
		final CacheEventPage page = new CacheEventPage(7, List.of(event(4, CacheEvent.Kind.STORED, 1),
				event(5, CacheEvent.Kind.STORED, 2), event(6, CacheEvent.Kind.EVICTED, 1)));
		assertThat(page.summarize("g", 4)).isEqualTo(new CacheEvents("g", false, false, List.of(2L), List.of(1L)));
	}

	// An engine keeps few events and this daemon reads late, so some are lost. Taken for
	// whole, the cache would be believed to hold prefixes that it gave up long ago.
	@Test
	void eventsThatWereLostShowAsAGap() {
		final CacheEventPage page = new CacheEventPage(9, List.of(event(8, CacheEvent.Kind.STORED, 1)));
		assertThat(page.summarize("g", 4).gap()).isTrue();
		assertThat(new CacheEventPage(9, List.of()).summarize("g", 4).gap()).isTrue();
		assertThat(new CacheEventPage(4, List.of()).summarize("g", 4).gap()).isFalse();
	}

	// An engine crashes and comes back with an empty cache. Work sent there for its
	// prefixes
	// would wait for a prefill that another target could have saved.
	@Test
	void whatStoodBeforeAClearedCacheIsForgotten() {
		final CacheEventPage page = new CacheEventPage(7, List.of(event(4, CacheEvent.Kind.STORED, 1),
				event(5, CacheEvent.Kind.CLEARED, 0), event(6, CacheEvent.Kind.STORED, 2)));
		assertThat(page.summarize("g", 4)).isEqualTo(new CacheEvents("g", false, true, List.of(2L), List.of()));
	}

}
