package org.pistachioline.core.placement;

import java.util.Collection;

/**
 * Where this daemon stands among the live ones, so that all can divide something without
 * a message.
 *
 * @param rank this daemon's place in the order of their names, from 0
 * @param count how many daemons there are
 */
public record DaemonRank(int rank, int count) {

	/** A daemon that knows of no other. */
	public static final DaemonRank ALONE = new DaemonRank(0, 1);

	/**
	 * Finds a daemon's place among live ones.
	 * <p>
	 * Silent daemons are left out: if one of them lives, an engine queues a little, while
	 * slots set aside for the dead would stand idle at the worst time.
	 * @param selfId the daemon
	 * @param liveIds the live daemons, this one included or not
	 * @return its place
	 */
	public static DaemonRank among(String selfId, Collection<String> liveIds) {
		int before = 0;
		int count = 1;
		for (final String id : liveIds) {
			before += (id.compareTo(selfId) < 0) ? 1 : 0;
			count += id.equals(selfId) ? 0 : 1;
		}
		return new DaemonRank(before, count);
	}

	/**
	 * Returns this daemon's equal part of something, such that all parts add up to it.
	 * <p>
	 * Rounded up, three daemons would send nine requests to an engine with eight slots,
	 * and each ninth one would wait inside the engine, out of reach of any fairness. The
	 * remainder falls to other daemons for each name, so that none gets more in all.
	 * @param whole what is divided
	 * @param name what it belongs to
	 * @return the part
	 */
	public int equalShare(int whole, String name) {
		final int turn = Math.floorMod(this.rank + name.hashCode(), this.count);
		return whole / this.count + ((turn < whole % this.count) ? 1 : 0);
	}

}
