package org.pistachioline.daemon;

import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Supplier;

import org.pistachioline.core.endpoints.EndpointSelector;
import org.pistachioline.core.peer.PeerStatus;

/**
 * Answers callers' lookups of the daemons that they should use.
 */
final class EndpointLookups {

	private final Supplier<List<PeerStatus>> daemons;

	private final boolean byRoom;

	private final AtomicLong lookupCount = new AtomicLong();

	/**
	 * Creates the lookups.
	 * @param daemons supplies the live daemons, including this one
	 * @param byRoom whether daemons with more room are chosen more often
	 */
	EndpointLookups(Supplier<List<PeerStatus>> daemons, boolean byRoom) {
		this.daemons = daemons;
		this.byRoom = byRoom;
	}

	/**
	 * Selects daemons for one lookup.
	 * @param availabilityZone the caller's availability zone; empty if it is not known
	 * @return the daemons' caller addresses, in order of preference
	 */
	List<String> select(String availabilityZone) {
		final long lookup = this.lookupCount.getAndIncrement();
		final List<PeerStatus> selected = this.byRoom
				? EndpointSelector.selectByRoom(this.daemons.get(), availabilityZone, lookup)
				: EndpointSelector.select(this.daemons.get(), availabilityZone, lookup);
		return selected.stream().map(PeerStatus::callerAddress).toList();
	}

}
