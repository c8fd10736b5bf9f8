package org.pistachioline.replay.trace;

/**
 * Something that fails for a while.
 *
 * @param type what fails
 * @param target the model or the service, where it is a target that fails
 * @param index which of its targets
 * @param availabilityZone the zone, where a whole zone fails
 * @param daemon which daemon, where a daemon fails
 * @param fromSeconds when it begins
 * @param toSeconds when it ends
 * @param factor how much slower a slow target is
 * @param periodSeconds after which a flapping fault turns off and on again; 0 for none
 */
public record FaultLine(Type type, String target, int index, String availabilityZone, int daemon, double fromSeconds,
		double toSeconds, double factor, double periodSeconds) implements TraceLine {

	public FaultLine {
		if (type == null) {
			throw new IllegalArgumentException("type is missing");
		}
		if (type == Type.SLOW) {
			Checks.between("factor", factor, 1, 1e4);
		}
		if (type == Type.SLOW || type == Type.DOWN) {
			Checks.text("target", target);
		}
		if (type == Type.ZONE_LOST) {
			Checks.text("availability_zone", availabilityZone);
		}
		if (toSeconds <= fromSeconds) {
			throw new IllegalArgumentException("to_seconds is not after from_seconds");
		}
	}

	/**
	 * What can fail.
	 */
	public enum Type {

		/** A target is slower than it was. */
		SLOW,

		/** A target is gone and comes back as a new group. */
		DOWN,

		/** All targets and daemons of an availability zone are gone. */
		ZONE_LOST,

		/** A daemon is gone. */
		DAEMON_LOST,

		/** The log takes no append. */
		LOG_OUTAGE

	}

}
