package org.pistachioline.core.planner;

import java.util.List;
import java.util.Map;
import java.util.Set;

import org.pistachioline.core.record.RecordBody;

/**
 * What a planner proposes, and why things are as they are.
 *
 * @param records the records to propose
 * @param groupReasons why each group of its domains is in its state, by group id
 * @param freeReasons why each free instance of its domains is not used, by instance id
 * @param unreachableDomains the fabric domains in which changes wait
 */
public record Plan(List<RecordBody> records, Map<String, String> groupReasons, Map<String, String> freeReasons,
		Set<String> unreachableDomains) {

	/** Nothing is proposed, and nothing is known. */
	public static final Plan EMPTY = new Plan(List.of(), Map.of(), Map.of(), Set.of());

	public Plan {
		records = List.copyOf(records);
		groupReasons = Map.copyOf(groupReasons);
		freeReasons = Map.copyOf(freeReasons);
		unreachableDomains = Set.copyOf(unreachableDomains);
	}

}
