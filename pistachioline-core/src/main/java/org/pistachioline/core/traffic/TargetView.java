package org.pistachioline.core.traffic;

/**
 * A snapshot of what this daemon knows about one target.
 *
 * @param targetId the group's id with its epoch, or the instance's id
 * @param kind the kind of target
 * @param name the model or the service that it serves
 * @param address the address that requests are sent to
 * @param epoch the group's epoch; 0 for a plain service
 * @param availabilityZone its availability zone
 * @param serving whether it accepts new requests: all members are present and it is not
 * draining
 * @param slots how many requests it runs concurrently
 * @param reportedRunning the number of running requests that it last reported, from all
 * daemons
 * @param reportedWaiting the number of waiting requests that it last reported, from all
 * daemons
 * @param reportedAtNanos the time of that report, by the monotonic clock
 */
public record TargetView(String targetId, TargetKind kind, String name, String address, long epoch,
		String availabilityZone, boolean serving, int slots, int reportedRunning, int reportedWaiting,
		long reportedAtNanos) {

	private static final char EPOCH_SEPARATOR = '@';

	/**
	 * Returns a copy of this view that accepts no new requests.
	 * @return the copy
	 */
	TargetView asNotServing() {
		return new TargetView(this.targetId, this.kind, this.name, this.address, this.epoch, this.availabilityZone,
				false, this.slots, this.reportedRunning, this.reportedWaiting, this.reportedAtNanos);
	}

	/**
	 * Returns the id of the instance or group that a target id names, without the epoch.
	 * @param targetId a target's id
	 * @return the part before the epoch
	 */
	public static String instanceId(String targetId) {
		final int separator = targetId.lastIndexOf(EPOCH_SEPARATOR);
		return (separator >= 0) ? targetId.substring(0, separator) : targetId;
	}

	/**
	 * Returns the id of the instance that receives the target's requests, or of the
	 * group, without the epoch.
	 * @return the part of the target id before the epoch
	 */
	public String instanceId() {
		return instanceId(this.targetId);
	}

}
