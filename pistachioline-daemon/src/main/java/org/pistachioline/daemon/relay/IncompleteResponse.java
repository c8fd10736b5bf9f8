package org.pistachioline.daemon.relay;

import java.util.OptionalLong;

/**
 * What is logged about a response that the daemon ended before it was complete.
 *
 * @param requestId the request id that the caller sent
 * @param reason the code of the decision that ended it
 * @param lastTargetId the target of the last attempt; empty if there was none
 * @param deliveredEvents how many events the caller was sent
 * @param attempts how the attempts ended; empty if there was none
 * @param silentMillis the time since the last bytes from a target; empty if the request
 * was not handled yet
 * @param leftMillis how long the deadline still allowed; negative after the deadline,
 * empty if the request was not handled yet
 */
record IncompleteResponse(String requestId, String reason, String lastTargetId, int deliveredEvents, String attempts,
		OptionalLong silentMillis, OptionalLong leftMillis) {

	/**
	 * Describes a request that was read but not handled before its connection closed.
	 * @param requestId the request id that the caller sent
	 * @param reason the code of the decision that ended it
	 * @return the description
	 */
	static IncompleteResponse unhandled(String requestId, String reason) {
		return new IncompleteResponse(requestId, reason, "", 0, "", OptionalLong.empty(), OptionalLong.empty());
	}

	/**
	 * Returns the fields of the event.
	 * @param configVersion the version of the configuration in force
	 * @param configAgeMillis how long it has been in force
	 * @return alternating names and values
	 */
	Object[] fields(long configVersion, long configAgeMillis) {
		return new Object[] { "request", this.requestId, "reason", this.reason, "last_target", this.lastTargetId,
				"events", this.deliveredEvents, "attempts", this.attempts, "silent_millis", textOf(this.silentMillis),
				"left_millis", textOf(this.leftMillis), "config_version", configVersion, "config_age_millis",
				configAgeMillis };
	}

	private static String textOf(OptionalLong millis) {
		return millis.isPresent() ? Long.toString(millis.getAsLong()) : "";
	}

}
