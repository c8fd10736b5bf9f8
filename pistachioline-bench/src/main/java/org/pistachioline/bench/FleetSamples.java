package org.pistachioline.bench;

import java.util.ArrayList;
import java.util.List;

import org.pistachioline.core.record.GroupFormation;
import org.pistachioline.core.record.Member;
import org.pistachioline.core.record.PlannerClaim;
import org.pistachioline.core.record.RecordBody;

/**
 * Records that form a fleet of a given size.
 */
final class FleetSamples {

	private static final String DOMAIN = "domain";

	private FleetSamples() {
	}

	/**
	 * Makes the records that form a fleet.
	 * @param replicas how many groups it has
	 * @param members how many members each group has
	 * @return a planner's claim, which must land at offset 0, and the formations
	 */
	static List<RecordBody> formations(int replicas, int members) {
		final List<RecordBody> bodies = new ArrayList<>();
		bodies.add(new PlannerClaim(DOMAIN, PlannerClaim.NO_EPOCH));
		for (int group = 0; group < replicas; group++) {
			final List<Member> ranks = new ArrayList<>();
			for (int rank = 0; rank < members; rank++) {
				ranks.add(new Member("i-" + group + "-" + rank, DOMAIN, "10.0.0.1:8000", "zone-a", 1));
			}
			bodies.add(new GroupFormation("g-" + group, "model", 0, ranks, 1));
		}
		return bodies;
	}

}
