package org.pistachioline.core.placement;

import java.util.Collection;

/**
 * The position of a daemon among the live ones, by which all daemons divide a quantity
 * consistently without exchanging messages.
 *
 * @param rank this daemon's position in the order of daemon ids, from 0
 * @param count the number of daemons
 */
public record DaemonRank(int rank, int count) {

	/** The rank of a daemon that knows no other daemon. */
	public static final DaemonRank ALONE = new DaemonRank(0, 1);

	/**
	 * Computes a daemon's position among the live ones.
	 * <p>
	 * Daemons that have fallen silent are left out. If one of them is alive after all, an
	 * engine queues a few requests; slots reserved for dead daemons would stay idle when
	 * capacity is scarcest.
	 * @param selfId the daemon
	 * @param liveIds the live daemons, with or without this one
	 * @return its rank
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
	 * Returns this daemon's equal share of a quantity, such that the shares of all
	 * daemons add up to the whole.
	 * <p>
	 * Shares are not rounded up: three daemons would then send nine requests to an engine
	 * with eight slots, and the ninth would wait inside the engine, where fair queueing
	 * does not apply. Which daemons receive the remainder depends on the name, so that no
	 * daemon gets more over many names.
	 * @param whole the quantity to divide
	 * @param name the name of what the quantity belongs to
	 * @return the share
	 */
	public int equalShare(int whole, String name) {
		final int position = Math.floorMod(this.rank + name.hashCode(), this.count);
		return whole / this.count + ((position < whole % this.count) ? 1 : 0);
	}

}
