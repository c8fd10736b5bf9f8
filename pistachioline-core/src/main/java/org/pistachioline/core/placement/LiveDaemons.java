package org.pistachioline.core.placement;

import java.util.Collection;
import java.util.Set;
import java.util.TreeSet;

/**
 * The daemons that this one knows to live, by their names.
 *
 * @param selfId this daemon
 * @param ids all of them, this one included
 */
public record LiveDaemons(String selfId, Set<String> ids) {

	/** A daemon that knows of no other. */
	public static final LiveDaemons ALONE = new LiveDaemons("", Set.of(""));

	public LiveDaemons {
		ids = Set.copyOf(ids);
	}

	/**
	 * Puts together what a daemon knows of others.
	 * @param selfId the daemon
	 * @param liveIds the live daemons, this one included or not
	 * @return all of them
	 */
	public static LiveDaemons of(String selfId, Collection<String> liveIds) {
		final Set<String> ids = new TreeSet<>(liveIds);
		ids.add(selfId);
		return new LiveDaemons(selfId, ids);
	}

	/**
	 * Finds this daemon's place among them.
	 * @return its place
	 */
	public DaemonRank rank() {
		return DaemonRank.among(this.selfId, this.ids);
	}

}
