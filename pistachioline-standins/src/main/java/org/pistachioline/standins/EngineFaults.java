package org.pistachioline.standins;

/**
 * The faults that an engine stand-in shows.
 *
 * @param down whether it answers nothing and cuts its streams
 * @param paused whether it stands still, keeping its connections
 * @param slowFactor by how much its tokens take longer
 */
public record EngineFaults(boolean down, boolean paused, int slowFactor) {

	/** No fault. */
	public static final EngineFaults NONE = new EngineFaults(false, false, 1);

}
