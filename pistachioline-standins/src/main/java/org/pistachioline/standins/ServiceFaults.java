package org.pistachioline.standins;

/**
 * The faults that a plain service stand-in shows.
 *
 * @param delayMillis how long it waits before each answer
 * @param loseAnswers how many of the next calls take effect and are never answered
 */
public record ServiceFaults(long delayMillis, int loseAnswers) {

	/** No fault. */
	public static final ServiceFaults NONE = new ServiceFaults(0, 0);

}
