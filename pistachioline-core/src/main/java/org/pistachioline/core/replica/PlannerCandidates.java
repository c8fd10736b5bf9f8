package org.pistachioline.core.replica;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Comparator;

import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Determines which daemons are candidates for the planner lease.
 * <p>
 * Designed for dozens to hundreds of daemons with frequent restarts. If all of them were
 * members of the lease's group, each would call the store twice a second to no purpose,
 * and every start or failure of a daemon would reassign the lease; a change of the
 * planner leaves the survivors of broken groups idle for seconds. Only the first few
 * daemons in the order of their hashed ids are therefore candidates, which each daemon
 * computes without communication. While the daemons' views of the live members differ,
 * for some seconds, one more daemon may be a candidate.
 */
public final class PlannerCandidates {

	/**
	 * Large enough that a simultaneous failure of half of the fleet is unlikely to
	 * include all candidates. In a fleet of at most this size every daemon is a
	 * candidate, so that none has to leave the lease's group when others return.
	 */
	private static final int MAX_CANDIDATES = 8;

	private static final Comparator<String> ORDER = Comparator
		.comparingInt((String id) -> MurmurHash3.hash32x86(id.getBytes(StandardCharsets.UTF_8)))
		.thenComparing(Comparator.naturalOrder());

	private PlannerCandidates() {
	}

	/**
	 * Returns whether a daemon is a candidate for the lease.
	 * @param selfId the daemon
	 * @param liveIds the live daemons that are not leaving; may or may not contain the
	 * daemon itself
	 * @return whether it is a candidate
	 */
	public static boolean includes(String selfId, Collection<String> liveIds) {
		return liveIds.stream()
			.filter((id) -> ORDER.compare(id, selfId) < 0)
			.limit(MAX_CANDIDATES)
			.count() < MAX_CANDIDATES;
	}

}
