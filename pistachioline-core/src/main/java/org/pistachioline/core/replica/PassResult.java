package org.pistachioline.core.replica;

import java.util.List;
import java.util.Set;

/**
 * What a planning pass left behind, for the summary of the pool.
 *
 * @param freeIds the instances that the pass could have assigned and did not
 * @param counts the instances of each model; null before the first pass
 * @param loading the number of weight loads in progress
 * @param decisions the policy's last decisions, the latest of each kind
 */
record PassResult(Set<String> freeIds, ModelInstanceCounts counts, int loading, List<PlanDecision> decisions) {

	static final PassResult NONE = new PassResult(Set.of(), null, 0, List.of());

}
