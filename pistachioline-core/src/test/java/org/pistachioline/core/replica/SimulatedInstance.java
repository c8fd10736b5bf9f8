package org.pistachioline.core.replica;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * An instance of a {@link ReplicaSimulation}: its actual state and the last listed one.
 */
final class SimulatedInstance {

	final String id;

	final String domain;

	String address;

	String availabilityZone = "zone";

	final Set<GroupId> everReady = new HashSet<>();

	boolean alive = true;

	long failedAtMillis;

	/**
	 * Whether an instance that restarted at the same address has replaced this one in the
	 * list.
	 */
	boolean restarted;

	long groupChangedAtMillis;

	long partitionedUntilMillis;

	boolean unreachable;

	long partitionedFromMillis = -1;

	/** When the entry is back in the list after an outage of the store. */
	long missingUntilMillis;

	long highestFencingToken;

	long epoch;

	GroupId group;

	List<String> members = List.of();

	/**
	 * The rank in the group; -1 for a restarted instance that the group does not name.
	 */
	int rank;

	MemberState state;

	/** When the instance, as an open head, first lacked a member; -1 while it has all. */
	long stalledSinceMillis = -1;

	long readyAtMillis;

	Set<String> stagedModels = Set.of();

	String lastModel = "";

	String stagingModel = "";

	long stagedAtMillis;

	ServingInstance lastListed;

	SimulatedInstance(String id, String domain) {
		this.id = id;
		this.domain = domain;
		this.address = "address-" + id;
	}

	long partitionedSince(long nowMillis) {
		if (nowMillis >= this.partitionedUntilMillis) {
			this.partitionedFromMillis = -1;
			return nowMillis;
		}
		if (this.partitionedFromMillis < 0) {
			this.partitionedFromMillis = nowMillis;
		}
		return this.partitionedFromMillis;
	}

	ServingInstance report() {
		final Optional<Membership> membership = Optional.ofNullable(this.group)
			.map((current) -> new Membership(current, this.rank, this.state));
		return new ServingInstance(this.id, "pool", this.address, this.availabilityZone, this.domain, false, 12,
				this.stagedModels, membership);
	}

}
