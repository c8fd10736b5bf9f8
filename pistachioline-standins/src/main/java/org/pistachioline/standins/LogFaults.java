package org.pistachioline.standins;

/**
 * The faults that the log stand-in shows.
 *
 * @param outage whether it answers 503 to all
 * @param delayMillis how long it waits before each answer
 * @param loseAppendAnswers how many of the next appends take effect and then lose their
 * answer
 * @param refuseAppends whether appends are refused while reads work
 */
public record LogFaults(boolean outage, long delayMillis, int loseAppendAnswers, boolean refuseAppends) {

	/** No fault. */
	public static final LogFaults NONE = new LogFaults(false, 0, 0, false);

}
