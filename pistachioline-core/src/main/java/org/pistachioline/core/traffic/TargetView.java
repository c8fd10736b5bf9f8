package org.pistachioline.core.traffic;

/**
 * What this daemon knows of one target at a moment.
 *
 * @param targetId the group's id with its epoch, or the instance's id
 * @param kind the kind of target
 * @param name the model or the service that it serves
 * @param address where calls go
 * @param epoch the group's epoch; 0 for a plain service
 * @param availabilityZone its availability zone
 * @param serving whether it may take new work: present as a whole and not draining
 * @param slots how many requests it runs at once
 * @param reportedRunning how many requests it said to be running, from all daemons
 * @param reportedWaiting how many requests it said to be waiting, from all daemons
 * @param reportedAtNanos when it said so, by the monotonic clock
 */
public record TargetView(String targetId, TargetKind kind, String name, String address, long epoch,
		String availabilityZone, boolean serving, int slots, int reportedRunning, int reportedWaiting,
		long reportedAtNanos) {

	private static final char EPOCH_SEPARATOR = '@';

	/**
	 * Returns the same target as one that takes no new work.
	 * @return the view
	 */
	TargetView asNotServing() {
		return new TargetView(this.targetId, this.kind, this.name, this.address, this.epoch, this.availabilityZone,
				false, this.slots, this.reportedRunning, this.reportedWaiting, this.reportedAtNanos);
	}

	/**
	 * Returns the instance, or the group, without its epoch.
	 * @param targetId a target's id
	 * @return what stands before the epoch
	 */
	public static String instanceId(String targetId) {
		final int separator = targetId.lastIndexOf(EPOCH_SEPARATOR);
		return (separator >= 0) ? targetId.substring(0, separator) : targetId;
	}

	/**
	 * Returns the instance that takes its requests, or the group, without the epoch.
	 * @return what stands before the epoch in its id
	 */
	public String instanceId() {
		return instanceId(this.targetId);
	}

}
