package org.pistachioline.core.traffic;

/**
 * What a leaving daemon does for callers at present.
 *
 * @param accepted the number of requests that it accepted lately
 * @param refused the number of requests that it refused lately because it leaves
 * @param oldestActiveNanos the age of its oldest active request, in nanoseconds; 0
 * without one
 */
public record DrainReport(int accepted, int refused, long oldestActiveNanos) {

	/** Nothing has been accepted or refused. */
	public static final DrainReport EMPTY = new DrainReport(0, 0, 0);

	/**
	 * Returns whether the daemon refuses more requests than it accepts.
	 * @return whether it does
	 */
	public boolean refusesMost() {
		return this.refused > this.accepted;
	}

}
