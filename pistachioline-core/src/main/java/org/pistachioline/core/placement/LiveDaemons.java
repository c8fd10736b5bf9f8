package org.pistachioline.core.placement;

import java.util.Collection;
import java.util.Set;
import java.util.TreeSet;

/**
 * The daemons that this one considers alive.
 *
 * @param selfId the id of this daemon
 * @param ids the ids of all live daemons, including this one
 */
public record LiveDaemons(String selfId, Set<String> ids) {

	/** The view of a daemon that knows no other daemon. */
	public static final LiveDaemons ALONE = new LiveDaemons("", Set.of(""));

	public LiveDaemons {
		ids = Set.copyOf(ids);
	}

	/**
	 * Adds this daemon to those that it considers alive.
	 * @param selfId the id of this daemon
	 * @param liveIds the ids of the live daemons, with or without this one
	 * @return all live daemons
	 */
	public static LiveDaemons of(String selfId, Collection<String> liveIds) {
		final Set<String> ids = new TreeSet<>(liveIds);
		ids.add(selfId);
		return new LiveDaemons(selfId, ids);
	}

	/**
	 * Computes this daemon's position among the live ones.
	 * @return its rank
	 */
	public DaemonRank rank() {
		return DaemonRank.among(this.selfId, this.ids);
	}

}
