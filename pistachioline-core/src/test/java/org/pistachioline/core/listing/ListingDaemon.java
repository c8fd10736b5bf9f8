package org.pistachioline.core.listing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.pistachioline.core.replica.ServingInstance;

/**
 * One daemon of a {@link ListingSimulation}.
 */
final class ListingDaemon {

	final int index;

	ListingSynchronizer synchronizer;

	boolean alive = true;

	boolean partitioned;

	int incarnation;

	long startedAtMillis = -10_000;

	long killedAtMillis;

	long restoreNoticedAtMillis = -ListingSimulation.RESTORE_HOLD_MILLIS;

	long pausedUntilMillis;

	List<ServingInstance> published;

	final Map<String, Long> newestVersions = new HashMap<>();

	ListingDaemon(int index, ListingSynchronizer node) {
		this.index = index;
		this.synchronizer = node;
	}

}
