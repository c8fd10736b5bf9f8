package org.pistachioline.core.listing;

/**
 * An event of a simulation in virtual time.
 *
 * @param atMillis the virtual time at which it happens
 * @param sequence orders events of the same time by their creation
 * @param action what happens
 */
record SimulationEvent(long atMillis, long sequence, Runnable action) implements Comparable<SimulationEvent> {

	@Override
	public int compareTo(SimulationEvent other) {
		final int byTime = Long.compare(this.atMillis, other.atMillis);
		return (byTime != 0) ? byTime : Long.compare(this.sequence, other.sequence);
	}

}
