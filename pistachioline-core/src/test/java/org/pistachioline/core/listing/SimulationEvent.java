package org.pistachioline.core.listing;

/**
 * Something that happens in a world in virtual time.
 *
 * @param atMillis when it happens
 * @param sequence tells events of the same moment apart, the earlier made one first
 * @param action what happens
 */
record SimulationEvent(long atMillis, long sequence, Runnable action) implements Comparable<SimulationEvent> {

	@Override
	public int compareTo(SimulationEvent other) {
		final int byTime = Long.compare(this.atMillis, other.atMillis);
		return (byTime != 0) ? byTime : Long.compare(this.sequence, other.sequence);
	}

}
