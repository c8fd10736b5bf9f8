package org.pistachioline.core.replica;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;

import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Which daemons ask for the planner's lease.
 * <p>
 * Made for fleets of dozens to hundreds of daemons that are restarted again and again.
 * Were all of them members of the lease's group, each would call the store twice a second
 * for nothing, and with each start and death of any of them the lease would be dealt
 * anew: a planner that changes leaves survivors of broken groups idle for seconds. So
 * only the first few in an order by the hash of their names ask, which all know without a
 * message. Views of who lives may differ for seconds: then one daemon more asks.
 */
public final class PlannerCandidates {

	/**
	 * Half of a fleet may die at once; that all of these are among them is unlikely. In a
	 * fleet no larger than this all ask, so that nobody has to leave the group again when
	 * daemons come back.
	 */
	private static final int MAX_CANDIDATES = 8;

	private static final Comparator<String> ORDER = Comparator
		.comparingInt((String id) -> MurmurHash3.hash32x86(id.getBytes(StandardCharsets.UTF_8)))
		.thenComparing(Comparator.naturalOrder());

	private PlannerCandidates() {
	}

	/**
	 * Returns whether a daemon asks for the lease.
	 * @param selfId the daemon
	 * @param liveIds the live daemons that are not leaving, itself included or not
	 * @return whether it does
	 */
	public static boolean includes(String selfId, Collection<String> liveIds) {
		return liveIds.stream()
			.filter((id) -> ORDER.compare(id, selfId) < 0)
			.limit(MAX_CANDIDATES)
			.count() < MAX_CANDIDATES;
	}

}
