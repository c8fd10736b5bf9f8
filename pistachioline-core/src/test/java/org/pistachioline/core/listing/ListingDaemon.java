package org.pistachioline.core.listing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.pistachioline.core.replica.ServingInstance;

/**
 * One daemon of a {@link ListingWorld}.
 */
final class ListingDaemon {

	final int index;

	ListingNode node;

	boolean alive = true;

	boolean cut;

	int life;

	long bornAtMillis = -10_000;

	long diedAtMillis;

	long noticedAtMillis = -ListingWorld.COPIED_MILLIS;

	long pausedUntilMillis;

	List<ServingInstance> published;

	final Map<String, Long> newestSeen = new HashMap<>();

	ListingDaemon(int index, ListingNode node) {
		this.index = index;
		this.node = node;
	}

}
