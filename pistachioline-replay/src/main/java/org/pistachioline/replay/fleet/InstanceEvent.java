package org.pistachioline.replay.fleet;

/**
 * Something that happens to an instance.
 *
 * @param atMillis when, from the start of the trace
 * @param instanceId the instance
 * @param kind what happens
 */
public record InstanceEvent(long atMillis, String instanceId, Kind kind) {

	/**
	 * What happens.
	 */
	public enum Kind {

		/** It stops answering. */
		DARK,

		/** It answers again and holds what it held. */
		BACK,

		/** The platform flags it as leaving. */
		LEAVING,

		/** It is gone from the platform and its list. */
		GONE

	}

}
