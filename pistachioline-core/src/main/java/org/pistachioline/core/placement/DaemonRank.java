package org.pistachioline.core.placement;

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
	 * Returns this daemon's equal part of something, such that all parts add up to it.
	 * <p>
	 * Rounded up, three daemons would send nine requests to an engine with eight slots,
	 * and each ninth one would wait inside the engine, out of reach of any fairness. The
	 * remainder falls to other daemons for each name, so that none gets more in all.
	 * @param whole what is divided
	 * @param name what it belongs to
	 * @return the part
	 */
	public int equalPart(int whole, String name) {
		final int turn = Math.floorMod(this.rank + name.hashCode(), this.count);
		return whole / this.count + ((turn < whole % this.count) ? 1 : 0);
	}

}
