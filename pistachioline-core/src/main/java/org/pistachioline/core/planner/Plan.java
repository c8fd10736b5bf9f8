package org.pistachioline.core.planner;

import java.util.List;
import java.util.Map;
import java.util.Set;

import org.pistachioline.core.record.RecordBody;

/**
 * The records that a planner proposes, and the reasons for the state of each group and
 * free instance.
 *
 * @param records the records to propose
 * @param groupReasons the reason for the state of each group in the planner's domains, by
 * group id
 * @param freeReasons why each free instance of the planner's domains is unused, by
 * instance id
 * @param unreachableDomains the fabric domains in which changes are deferred because many
 * instances are unresponsive
 */
public record Plan(List<RecordBody> records, Map<String, String> groupReasons, Map<String, String> freeReasons,
		Set<String> unreachableDomains) {

	/** A plan without records and reasons. */
	public static final Plan EMPTY = new Plan(List.of(), Map.of(), Map.of(), Set.of());

	public Plan {
		records = List.copyOf(records);
		groupReasons = Map.copyOf(groupReasons);
		freeReasons = Map.copyOf(freeReasons);
		unreachableDomains = Set.copyOf(unreachableDomains);
	}

}
